// Runs one case: exit code 1 if a rule was broken, 0 if it held, 2 if the case could not run.
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import { ROOT } from './world.mjs';

export const TROUBLE = process.env.TROUBLE !== '0';

/** `body(world)` returns the list of breaches that it saw. */
export const runCase = async (makeWorld, body, limitS = 115) => {
  if (!existsSync(join(ROOT, 'target/main.cjs'))) {
    console.log('cannot run: target/main.cjs is missing; run the build of deploy/service.toml first');
    process.exit(2);
  }
  const world = makeWorld();
  let code = 2;
  let text = '';
  let isEnding = false;
  const finish = async () => {
    if (isEnding) return;
    isEnding = true;
    world.record({ ev: 'verdict', code, text });
    await world.end().catch(() => {});
    console.log(text);
    process.exit(code);
  };
  const timer = setTimeout(() => {
    text = 'cannot run: not finished in time';
    finish();
  }, limitS * 1000);
  // A fault of a stand-in must not look like a broken rule.
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => {
      if (isEnding) return;
      code = 2;
      text = `cannot run: ${error?.stack ?? error}`;
      finish();
    });
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, finish);
  try {
    await world.start();
    await world.ready();
    const breaches = await body(world);
    if (isEnding) return;
    code = breaches.length > 0 ? 1 : 0;
    text = breaches.length > 0 ? `BROKEN, ${breaches.length} times:\n${breaches.slice(0, 8).join('\n')}` : 'held';
  } catch (error) {
    code = 2;
    text = `cannot run: ${error.stack}`;
  }
  clearTimeout(timer);
  await finish();
};
