/**
 * Waits for a site that has just started, or was disturbed, to serve again.
 * @module
 */
import * as timers from "node:timers/promises";

/** Milliseconds in which the site must serve, and between two requests. */
const WITHIN_MS = 15_000;
const PAUSE_MS = 20;

/**
 * Resolves once `count` requests in a row were served; throws if they are not after 15 s. `send` sends the `n`th request, after
 * `inRow` ones that were served, and resolves to whether it was served.
 */
export async function untilServed(
  count: number,
  send: (n: number, inRow: number) => Promise<boolean>,
): Promise<void> {
  const giveUpAt = performance.now() + WITHIN_MS;
  for (let n = 0, inRow = 0; inRow < count; n++) {
    if (performance.now() > giveUpAt) throw new Error(`not served within ${WITHIN_MS} ms`);
    inRow = (await send(n, inRow)) ? inRow + 1 : 0;
    await timers.setTimeout(PAUSE_MS);
  }
}
