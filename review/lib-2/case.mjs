// Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import { World } from './world.mjs';

const LIMIT_MS = 118_000;

/**
 * `play(world, isTrouble)` returns { ran, broken, result }. `options(isTrouble)` are the world's.
 */
export const runCase = async (folder, options, play) => {
  const isTrouble = process.env.TROUBLE !== '0';
  const world = new World(folder, options(isTrouble));
  let isOver = false;
  const finish = async (code, text) => {
    if (isOver) return;
    isOver = true;
    world.recorder.write(`RESULT ${code}: ${text}`);
    console.log(`${code === 1 ? 'broken' : code === 0 ? 'held' : 'could not run'}: ${text}`);
    await world.close().catch(() => {});
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => finish(2, signal));
  process.on('uncaughtException', (error) => finish(2, error.stack));
  process.on('unhandledRejection', (error) => finish(2, error?.stack ?? String(error)));
  setTimeout(() => finish(2, 'out of time'), LIMIT_MS);
  world.recorder.write(`TROUBLE=${isTrouble ? 1 : 0}`);
  const { ran, broken, result } = await play(world, isTrouble);
  if (!ran) return finish(2, result);
  return finish(broken ? 1 : 0, result);
};
