/** Command line of the daemon. */

import type {Daemon} from './Daemon.js';
import type {DaemonSettings} from 'jackdawcove-settings';
import type {ResultName} from 'jackdawcove-shared';

import {formatSettingsFault, loadSettings} from 'jackdawcove-settings';
import {createFailure, formatFailure, RESULT_CODES} from 'jackdawcove-shared';
import meow from 'meow';

import {startDaemon} from './Daemon.js';
import {DAEMON_VERSION} from './DaemonConstants.js';

const HELP = `
  Usage
    $ jackdawd SETTINGS
    $ jackdawd --check SETTINGS

  Options
    --check    Check the settings file and exit
    --version  Print the version
    --help     Print this text

  Signals
    SIGTERM, SIGINT  Drain, finish the calls in flight, stop
`;

const RESULTS_BY_ERROR_CODE: Readonly<Record<string, ResultName>> = {
  EACCES: 'addressInUse',
  EADDRINUSE: 'addressInUse',
  EADDRNOTAVAIL: 'addressInUse',
  ENOSPC: 'storageFull',
};

function fail(result: ResultName, detail: string): void {
  process.stderr.write(`${formatFailure(createFailure(result, detail))}\n`);
  process.exitCode = RESULT_CODES[result].exitCode;
}

function readSettings(path: string): DaemonSettings | undefined {
  const settings = loadSettings(path);
  if (settings.isOk) {
    return settings.value;
  }
  for (const fault of settings.error) {
    process.stderr.write(`${formatSettingsFault(fault)}\n`);
  }
  const [firstFault] = settings.error;
  const result = firstFault?.result ?? 'settingsInvalid';
  process.exitCode = RESULT_CODES[result].exitCode;
  return undefined;
}

function stopOnSignals(daemon: Daemon): void {
  const stop = (): void => {
    void daemon.stop().then(() => {
      process.exit(0);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function runDaemon(settings: DaemonSettings): Promise<void> {
  try {
    stopOnSignals(await startDaemon(settings));
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    fail(RESULTS_BY_ERROR_CODE[code ?? ''] ?? 'internalError', message);
    process.exit();
  }
}

/**
 * Runs the daemon's command line.
 *
 * @example
 * await runJackdawd(['--check', 'erie-1.ini']);
 */
export async function runJackdawd(
  commandArguments: readonly string[],
): Promise<void> {
  const cli = meow(HELP, {
    argv: commandArguments,
    description: 'jackdawcove daemon',
    flags: {check: {default: false, type: 'boolean'}},
    importMeta: import.meta,
    version: DAEMON_VERSION,
  });
  const [path, ...extraArguments] = cli.input;
  const unknownFlags = Object.keys(cli.flags).filter(
    (flag) => flag !== 'check',
  );
  if (
    path === undefined ||
    extraArguments.length > 0 ||
    unknownFlags.length > 0
  ) {
    fail('usage', 'give one settings file');
    process.stderr.write(HELP);
    return;
  }
  const settings = readSettings(path);
  if (settings === undefined) {
    return;
  }
  if (cli.flags.check) {
    process.stdout.write(`${path}: valid\n`);
    return;
  }
  await runDaemon(settings);
}
