/** Process of one daemon of an experiment. */

import {startDaemon} from 'jackdawcove-daemon';
import {parseSettings} from 'jackdawcove-settings';

import {daemonStartSchema} from './ProcessMessages.js';

const SETTINGS_NAME = 'experiment';

process.once('message', (message) => {
  const {baseline, settingsText} = daemonStartSchema.parse(message);
  const settings = parseSettings(settingsText, SETTINGS_NAME);
  if (settings.isErr) {
    throw new Error(JSON.stringify(settings.error));
  }
  void startDaemon(settings.value, {baseline}).then((daemon) => {
    process.once('SIGTERM', () => {
      void daemon.stop().then(() => process.exit(0));
    });
    process.send?.({addresses: daemon.getAddresses(), kind: 'started'});
  });
});
process.on('disconnect', () => {
  process.exit(0);
});
