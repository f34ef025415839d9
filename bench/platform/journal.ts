/**
 * Record of the requests that stand-in workers received and ran, for checks by tests and the soak.
 * @module
 */

/** One execution of a request, as its worker saw it. Times are monotonic ms. */
export interface Run {
  readonly id: string;
  readonly service: string;
  readonly instance: string;
  readonly adapter: string;
  readonly version: number;
  /** Version of the worker's software; undefined if it names none. */
  readonly software: string | undefined;
  /** Milliseconds until the request's deadline, as told to the worker. */
  readonly leftMs: number;
  /** Team named to the worker, and whether the caller's API key was forwarded to it. */
  readonly team: string | undefined;
  readonly sawKey: boolean;
  readonly at: number;
  /** When the worker stopped working on the request; undefined while it runs. */
  endedAt: number | undefined;
}

/** A request that reached a worker, whether or not the worker ran it. */
export interface Arrival {
  readonly id: string;
  readonly service: string;
  readonly instance: string;
  /** Limit that the worker announced at the time, in requests a second; undefined for none. */
  readonly limitPerS: number | undefined;
  /** Whether the worker was announcing that it leaves. */
  readonly leaving: boolean;
  /** Whether the worker shed the request, and the pause in ms that it asked for; undefined for none. */
  readonly sheds: boolean;
  pauseMs: number | undefined;
  /** Whether the request was meant for another worker, or for an adapter that the worker did not hold. */
  isMisdirected: boolean;
  readonly at: number;
}

/** A worker crash caused by a request. */
export interface Crash {
  readonly id: string;
  /** Body of the request, which is the same in each of its attempts. */
  readonly body: string;
  /** The part of its prompt that crashes workers; undefined if its body does. */
  readonly part: string | undefined;
  readonly instance: string;
  readonly at: number;
}

/** Everything that the stand-in workers recorded. */
export interface Journal {
  readonly arrivals: Arrival[];
  readonly runs: Run[];
  /** Worker crashes caused by requests. */
  readonly crashes: Crash[];
  /** Descriptions of orders that no worker may be given. */
  readonly faults: string[];
}

/** An empty journal. */
export function createJournal(): Journal {
  return { arrivals: [], runs: [], crashes: [], faults: [] };
}
