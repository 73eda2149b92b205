#!/usr/bin/env node
/** Entry point of the command-line tool. */

import {createDependencies} from './createDependencies.js';
import {runJackdaw} from './runJackdaw.js';

process.exitCode = await runJackdaw(
  process.argv.slice(2),
  createDependencies(),
);
