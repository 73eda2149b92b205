import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';

import {READ_TOKEN, startTestDaemon} from '../fixtures/startTestDaemon.js';

t.test(
  'a daemon whose data folder is a file starts without a voter',
  async (t) => {
    const path = join(t.testdir(), 'occupied');
    writeFileSync(path, 'not a folder');
    const daemon = await startTestDaemon({name: 'vm-0', voterFolder: path});
    t.teardown(async () => daemon.stop());
    const {administration} = daemon.getAddresses();
    const url = `http://${formatAddress(administration)}/timeline?kind=storageRefused`;
    const headers = {authorization: `Bearer ${READ_TOKEN}`};
    const answer = await fetch(url, {headers});
    t.match(await answer.json(), {events: [{kind: 'storageRefused'}]});
  },
);
