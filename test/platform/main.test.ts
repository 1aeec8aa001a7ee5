import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { beforeAll, describe, expect, it } from 'vitest';

const bundle = 'target/gateway.mjs';

/** Runs the bundled program until it exits. */
function run(path: string | undefined) {
  const { status, stderr } = spawnSync(process.execPath, [bundle], {
    encoding: 'utf8',
    timeout: 20_000,
    env: { PATH: process.env['PATH'], ...(path === undefined ? {} : { CICADATIDE_BOOT: path }) },
  });
  return { status, stderr };
}

beforeAll(() => {
  execFileSync('npm', ['run', '--silent', 'bundle']);
});

describe('the bundled gateway', () => {
  it('exits with code 3 and names the remedy when its settings are invalid', () => {
    const path = join(mkdtempSync(join(tmpdir(), 'gateway-')), 'boot.ini');
    writeFileSync(path, '[process]\ninstance = gw-1\n[store]\naddress = nowhere\n');
    const { status, stderr } = run(path);
    expect(status).toBe(3);
    expect(stderr).toContain('[store] address: found "nowhere"; write an IP address and port');
    expect(stderr).toContain('[listen] callers: found nothing');
  });

  it('exits with code 3 when no settings file is specified', () => {
    const { status, stderr } = run(undefined);
    expect([status, stderr.includes('CICADATIDE_BOOT is not set')]).toEqual([3, true]);
  });
});
