/**
 * Defers requests of teams beyond their share where requests of other teams would come late behind them. Pure.
 *
 * While the queue is short, all requests are served in the order of their latest starts, which makes the fewest of them
 * late. So a large team loses nothing before another team would.
 * @module
 */
import * as fairShares from "./fair-shares.js";

/** A waiting request. */
export interface Deferrable extends fairShares.Waiting {
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
}

/**
 * Part of the time until its latest start that a request within its team's share may wait behind others. The rest is
 * reserved: engines have slow spells in which a step takes 2.5 times as long, and estimates err.
 */
const WAIT_RATIO = 0.5;

/** Index of the least urgent request, the last of these; -1 if there is none. */
function leastUrgent(of: readonly Deferrable[]): number {
  const rank = Math.max(...of.map((w) => w.rank));
  return of.findLastIndex((w) => w.rank === rank);
}

/**
 * Returns `order` with the requests of the teams `over` their share put last, as far as others need their place: the
 * least urgent first. `slackMs` tells how many ms from now the engine must start on a request for it to be on time.
 */
export function deferOver<W extends Deferrable>(
  order: readonly W[],
  over: ReadonlySet<string>,
  slackMs: (w: W) => number,
): readonly W[] {
  if (over.size === 0) return order;
  const deferred = new Set<W>();
  const deferrable: W[] = [];
  let aheadMs = 0;
  for (const w of order) {
    if (fairShares.isOver(over, w)) deferrable.push(w);
    else {
      while (aheadMs > WAIT_RATIO * slackMs(w) && deferrable.length > 0) {
        for (const d of deferrable.splice(leastUrgent(deferrable), 1)) {
          deferred.add(d);
          aheadMs -= d.serviceMs;
        }
      }
    }
    aheadMs += w.serviceMs;
  }
  return [...order.filter((w) => !deferred.has(w)), ...order.filter((w) => deferred.has(w))];
}
