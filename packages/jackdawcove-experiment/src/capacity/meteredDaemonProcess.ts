/** Process of a metered daemon, which counts its own traffic. */

import {startDaemon} from 'jackdawcove-daemon';
import {parseSettings} from 'jackdawcove-settings';
import {match} from 'ts-pattern';

import {meteredDaemonMessageSchema} from './MeteredDaemonMessages.js';
import {TrafficCounter} from './TrafficCounter.js';

const SETTINGS_NAME = 'capacity';

const counter = new TrafficCounter();
counter.start();

async function start(settingsText: string): Promise<void> {
  const settings = parseSettings(settingsText, SETTINGS_NAME);
  if (settings.isErr) {
    throw new Error(JSON.stringify(settings.error));
  }
  await startDaemon(settings.value, {baseline: 'none'});
  process.send?.(counter.getTraffic());
}

process.on('message', (message) => {
  match(meteredDaemonMessageSchema.parse(message))
    .with({kind: 'start'}, ({settingsText}) => {
      void start(settingsText);
    })
    .with({kind: 'readTraffic'}, () => {
      process.send?.(counter.getTraffic());
    })
    .exhaustive();
});
process.on('disconnect', () => {
  process.exit(0);
});
