// Writes docs/FAULT-MATRIX.md from the table of the checker. Build first.
import {writeFileSync} from 'node:fs';

import {
  FAULT_CASES,
  formatFaultMatrix,
} from '../packages/jackdawcove-checker/dist/index.js';

writeFileSync('docs/FAULT-MATRIX.md', formatFaultMatrix(FAULT_CASES));
