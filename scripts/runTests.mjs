// Runs all compiled test files with tap and ends with "N passed, N failed". Files whose
// names end in ".alone.test.js" run after all others, one at a time.
// Failures listed in KNOWN-RED.txt are printed but do not count as failed.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {Parser} from 'tap-parser';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const KNOWN_RED_PREFIX = 'test: ';
const PACKAGES_FOLDER = 'packages';
const PLATFORM_FOLDER = 'platform';
const ALONE_SUFFIX = '.alone.test.js';
const TAP_PROGRAM = 'node_modules/.bin/tap';
const TEST_FOLDER = 'dist/__tests__/unit';

function readKnownRed() {
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return lines
    .filter((line) => line.startsWith(KNOWN_RED_PREFIX))
    .map((line) => line.slice(KNOWN_RED_PREFIX.length).trim());
}

function findTestFiles() {
  const nameParts = process.argv.slice(2);
  const folders = readdirSync(PACKAGES_FOLDER).map((name) =>
    join(PACKAGES_FOLDER, name),
  );
  return [...folders, PLATFORM_FOLDER]
    .map((folder) => join(folder, TEST_FOLDER))
    .filter((folder) => existsSync(folder))
    .flatMap((folder) => readdirSync(folder).map((file) => join(folder, file)))
    .filter((file) => file.endsWith('.test.js'))
    .filter((file) => nameParts.every((part) => file.includes(part)));
}

function collectLeaves(parser, path, leaves) {
  let childNames = new Set();
  parser.on('child', (child) => {
    childNames.add(child.name);
    collectLeaves(child, [...path, child.name], leaves);
  });
  parser.on('assert', (result) => {
    const isSummaryOfChild = childNames.has(result.name);
    const hasFailedLeaf = leaves.some(
      (leaf) =>
        !leaf.ok && leaf.path.startsWith([...path, result.name].join(' > ')),
    );
    if (isSummaryOfChild && (result.ok || hasFailedLeaf)) {
      return;
    }
    leaves.push({
      ok: result.ok,
      path: [...path, result.name].join(' > '),
    });
  });
}

function report(leaves, exitCode) {
  const knownRed = readKnownRed();
  const failed = leaves.filter((leaf) => !leaf.ok);
  const isKnownRed = (leaf) =>
    knownRed.some((name) => leaf.path.includes(name));
  const unexpected = failed.filter((leaf) => !isKnownRed(leaf));
  failed
    .filter(isKnownRed)
    .forEach((leaf) => console.log(`known red: ${leaf.path}`));
  unexpected.forEach((leaf) => console.log(`failed: ${leaf.path}`));
  const passed = leaves.length - failed.length;
  const runnerFailures = exitCode !== 0 && failed.length === 0 ? 1 : 0;
  const failures = unexpected.length + runnerFailures;
  console.log(`${passed} passed, ${failures} failed`);
  process.exitCode = failures > 0 || passed === 0 ? 1 : 0;
}

async function run(files, tapArguments, leaves) {
  if (files.length === 0) {
    return 0;
  }
  const parser = new Parser();
  collectLeaves(parser, [], leaves);
  const runner = spawn(
    TAP_PROGRAM,
    ['--reporter=tap', ...tapArguments, ...files],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  runner.stdout.on('data', (chunk) => {
    parser.write(chunk);
    process.stdout.write(chunk);
  });
  const [exitCode] = await once(runner, 'close');
  parser.end();
  return exitCode;
}

const files = findTestFiles();
const isAlone = (file) => file.endsWith(ALONE_SUFFIX);
const leaves = [];
const exitCodes = [
  await run(
    files.filter((file) => !isAlone(file)),
    [],
    leaves,
  ),
  await run(files.filter(isAlone), ['--jobs=1'], leaves),
];
report(leaves, exitCodes.find((exitCode) => exitCode !== 0) ?? 0);
