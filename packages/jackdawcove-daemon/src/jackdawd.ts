#!/usr/bin/env node
/** Entry point of the daemon. */

import {runJackdawd} from './runJackdawd.js';

await runJackdawd(process.argv.slice(2));
