#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { runCli } from './run.js';

const standardInput = 0;

process.exitCode = await runCli(process.argv.slice(2), process.env, {
  out: (text) => process.stdout.write(text),
  err: (text) => process.stderr.write(text),
  readStdin: () => readFileSync(standardInput, 'utf8'),
});
