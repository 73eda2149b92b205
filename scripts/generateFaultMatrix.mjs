// Generates docs/FAULT-MATRIX.md from the fault cases of the checker. Requires a
// build.
import {writeFileSync} from 'node:fs';

import {
  FAULT_CASES,
  formatFaultMatrix,
} from '../packages/jackdawcove-checker/dist/index.js';

writeFileSync('docs/FAULT-MATRIX.md', formatFaultMatrix(FAULT_CASES));
