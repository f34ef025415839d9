/**
 * Defers requests of teams beyond their share where requests of other teams would come late behind them. Pure.
 *
 * While the queue is short, all requests are served in the order of their latest starts, which makes the fewest of them
 * late. So a large team loses nothing before another team would.
 * @module
 */
import * as fairShares from "./fair-shares.js";

/** A waiting request; times are monotonic ms. */
export interface Deferrable extends fairShares.Waiting {
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  readonly askedAt: number;
  /** Time after which its first event is late. */
  readonly targetAt: number;
}

/**
 * Part of the time from its arrival to its latest start that a request within its team's share may wait behind others.
 * The rest is reserved: engines have slow spells in which a step takes 2.5 times as long, and estimates err.
 */
const WAIT_RATIO = 0.6;

/** Monotonic ms by which the engine should start on a request within its team's share. */
function startBy({ askedAt, targetAt, serviceMs }: Deferrable): number {
  return askedAt + WAIT_RATIO * (targetAt - serviceMs - askedAt);
}

/** Index of the least urgent request, the last of these; -1 if there is none. */
function leastUrgent(of: readonly Deferrable[]): number {
  const rank = Math.max(...of.map((w) => w.rank));
  return of.findLastIndex((w) => w.rank === rank);
}

/**
 * Returns `order` with the requests of the teams `over` their share put last, as far as others need their place: the
 * least urgent first. `order` holds requests that can be on time at `now`.
 */
export function deferOver<W extends Deferrable>(
  order: readonly W[],
  over: ReadonlySet<string>,
  now: number,
): readonly W[] {
  if (over.size === 0) return order;
  const deferred = new Set<W>();
  const deferrable: W[] = [];
  let aheadMs = 0;
  for (const w of order) {
    if (fairShares.isOver(over, w)) deferrable.push(w);
    else {
      while (now + aheadMs > startBy(w) && deferrable.length > 0) {
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
