/**
 * What stand-ins for workers write down, for tests and the soak to judge.
 * @module
 */

/** One run of a request, as its worker saw it. */
export interface Run {
  readonly id: string;
  readonly service: string;
  readonly instance: string;
  readonly adapter: string;
  readonly version: number;
  /** Milliseconds that the worker was told are left. */
  readonly leftMs: number;
  /** Team that the worker was told, and whether it was shown a key. */
  readonly team: string | undefined;
  readonly sawKey: boolean;
  readonly at: number;
  /** When the worker stopped work on it. */
  endedAt: number | undefined;
}

/** A request that reached a worker, whether that ran it or not. */
export interface Arrival {
  readonly id: string;
  readonly service: string;
  readonly instance: string;
  /** Requests a second that the worker named as its limit then. */
  readonly limitPerS: number | undefined;
  /** The worker said that it leaves. */
  readonly leaving: boolean;
  /** The worker turned it away, and the milliseconds of the pause that it asked for. */
  readonly sheds: boolean;
  readonly pauseMs: number | undefined;
  /** The worker was not the one meant, or had not the adapter. */
  isMisdirected: boolean;
  readonly at: number;
}

/** The end of a worker under a request. */
export interface Crash {
  readonly id: string;
  /** What the request said; the same in each of its attempts. */
  readonly body: string;
  readonly instance: string;
  readonly at: number;
}

/** What a stand-in tells about itself. */
export interface Journal {
  readonly arrivals: Arrival[];
  readonly runs: Run[];
  /** Workers that ended under a request. */
  readonly crashes: Crash[];
  /** Orders that no worker may be given, as text. */
  readonly faults: string[];
}

export function journal(): Journal {
  return { arrivals: [], runs: [], crashes: [], faults: [] };
}
