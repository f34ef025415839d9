/**
 * The entry daemon's side of the origins of streams: it remembers those of its own, reports them to a few endpoint daemons
 * where streams may have different ones, and finds the origin of a stream that a caller resumes here.
 *
 * While all streams of a route can have only one origin, nothing is reported, and a stream of which no record exists has
 * that origin. This is decided by what this host and the endpoint daemons have watched, and never assumed.
 * @module
 */
import * as clock from "../../host/clock.js";
import * as hash from "../../host/hash.js";
import type * as callerRequest from "../caller-request.js";
import type * as catalog from "../catalog.js";
import type * as link from "../link.js";
import * as expiringMap from "./expiring-map.js";
import type * as messages from "./messages.js";
import * as origin from "./origin.js";
import * as originHistory from "./origin-history.js";

/** Number of endpoint daemons that keep the origin of one stream. */
export const KEEPERS = 3;
/** Number of groups of streams; all streams of a group have the same keepers. */
const KEEPER_GROUPS = 256;
/** Most streams whose origins one host remembers; the oldest are dropped first. */
const MAX_STREAMS = 20_000;

/** Age of the catalog in ms beyond which this host does not rely on it alone; above the interval at which it is renewed. */
const MAX_CATALOG_AGE_MS = 3000;
/** Milliseconds for which a resumed stream waits at most until the catalog is up to date, and between two checks of that. */
const UP_TO_DATE_WAIT_MS = 1500;
const UP_TO_DATE_POLL_MS = 20;

/** A connection to an endpoint daemon that may keep origins. */
export type Keeper = Pick<link.Link, "address" | "send" | "findOrigin">;

export interface Deps extends originHistory.Deps {
  /** Connections to the first `n` endpoint daemons in the order for a key. */
  readonly keepers: (key: string, n: number) => readonly Keeper[];
}

/** Who knew the origin of a stream. */
export type Source = "own" | "keeper" | "only_one";

/** The origin of a stream that is resumed here, and how it is known. */
export interface Known {
  readonly origin: origin.Origin;
  readonly from: Source;
  /** Address of the endpoint daemon that told it, if one did. */
  readonly peer?: string | undefined;
}

/** Why the origin of a stream is not known. */
export type UnknownReason =
  /** Its caller does not name the attempt that began it, and several origins are possible. */
  | "unnamed"
  /** No endpoint daemon that may keep it replied. */
  | "unanswered"
  /** Those that replied have no record of it. */
  | "unrecorded"
  /** Two records of it differ. */
  | "contradictory";

/** The reply of an endpoint daemon that may keep the origin of a stream. */
export interface Reply {
  readonly peer: string;
  readonly found: messages.Found;
}

/** What was found out about the origin of a stream that is resumed here. */
export type Lookup =
  | (Known & { readonly kind: "known" })
  | {
      readonly kind: "unknown";
      readonly reason: UnknownReason;
      readonly replies: readonly Reply[];
      /** Number of endpoint daemons that were asked. */
      readonly asked: number;
    };

/** A stream that began here. */
interface OwnStream extends expiringMap.Expiring {
  readonly origin: origin.Origin;
  readonly route: string;
  isReported: boolean;
}

function toMessage(attempt: string, s: OwnStream, now: number): messages.Begun {
  return { kind: "stream_begun", attempt, origin: s.origin, ttlMs: Math.max(1, s.expiresAt - now) };
}

/** The key by which the endpoint daemons that keep a stream's origin are ordered. */
function keeperKey(attempt: string): string {
  return `streams/${hash.hash32(attempt) % KEEPER_GROUPS}`;
}

/** The origins of the streams of one entry daemon's callers. */
export class Origins {
  private readonly own = new expiringMap.ExpiringMap<OwnStream>(MAX_STREAMS);
  /** The longest wait that a caller of each route has told at the beginning of a stream. */
  private readonly longestWaitMs = new Map<string, number>();
  private readonly history: originHistory.OriginHistory;

  constructor(private readonly deps: Deps) {
    this.history = new originHistory.OriginHistory(deps);
  }

  /** Number of streams remembered. */
  get size(): number {
    return this.own.size;
  }

  /** Takes in a changed catalog. Streams that now may have different origins are reported. */
  catalogChanged(at: catalog.Catalog): void {
    this.history.catalogChanged(at);
    const names = new Set(at.config?.routes.map((r) => r.name));
    for (const name of this.longestWaitMs.keys())
      if (!names.has(name)) this.longestWaitMs.delete(name);
    const unreported = this.own.live(this.deps.clock.mono()).filter(([, s]) => !s.isReported);
    const open = new Set(unreported.map(([, s]) => s.route));
    const routes = at.config?.routes.filter((r) => open.has(r.name)) ?? [];
    const unambiguous = new Set(routes.filter((r) => this.isOnlyOne(r)).map((r) => r.name));
    for (const [attempt, s] of unreported) if (!unambiguous.has(s.route)) this.report(attempt, s);
  }

  /** Takes in an endpoint whose entry did not last until it came into the catalog. */
  endpointSuperseded(e: catalog.Endpoint): void {
    this.history.endpointSuperseded(e);
  }

  /** Whether all streams of a route can have only one origin, by what this host has watched. */
  isOnlyOne(route: catalog.Route): boolean {
    return this.onlyOrigin(route) !== undefined;
  }

  /** Records the origin of a stream, before its first event is passed on. */
  begun(req: callerRequest.CallerRequest, o: origin.Origin): void {
    const { meta, route } = req;
    if (!route.resumable) return;
    if (Number.isFinite(meta.waitMs)) {
      const longestMs = Math.max(meta.waitMs, this.longestWaitMs.get(route.name) ?? 0);
      this.longestWaitMs.set(route.name, longestMs);
    }
    if (meta.id === "") return;
    const now = this.deps.clock.mono();
    const expiresAt = now + originHistory.memoryMs(route);
    const s: OwnStream = { origin: o, route: route.name, expiresAt, isReported: false };
    this.own.set(meta.id, s, now);
    if (!this.isOnlyOne(route)) this.report(meta.id, s);
  }

  /** Finds the origin of the stream that a request resumes; unknown if nobody that is asked knows it for certain. */
  async find(req: callerRequest.CallerRequest): Promise<Lookup> {
    const { meta, route } = req;
    const { resumes } = meta;
    const now = this.deps.clock.mono();
    const own = resumes === undefined ? undefined : this.own.get(resumes, now);
    if (own) return { kind: "known", origin: own.origin, from: "own" };
    const longestMs = this.longestWaitMs.get(route.name) ?? 0;
    const maxAgeMs = originHistory.maxAgeMs(route, meta.waitMs, longestMs);
    const question = { ...(resumes !== undefined && { attempt: resumes }), maxAgeMs };
    const keepers = this.keepersOf(resumes ?? meta.id);
    const replies = await ask(keepers, { ...question, route: route.name });
    const records = replies.flatMap((r) => r.found.origin ?? []);
    const agreed = origin.agreedOrigin(records);
    if (agreed) {
      const peer = replies.find((r) => r.found.origin)?.peer;
      return { kind: "known", origin: agreed, from: "keeper", peer };
    }
    const unknown = (reason: UnknownReason): Lookup => {
      return { kind: "unknown", reason, replies, asked: keepers.length };
    };
    if (records.length > 0) return unknown("contradictory");
    const missing = unknown(
      resumes === undefined ? "unnamed" : replies.length > 0 ? "unrecorded" : "unanswered",
    );
    const infer = (): origin.Origin | undefined => {
      const ageMs = maxAgeMs + this.deps.clock.mono() - now;
      const here = this.history.witness(route.name, ageMs);
      return origin.onlyOrigin([here, ...replies.map((r) => r.found)], ageMs);
    };
    if (!infer()) return missing;
    // The host that began the stream may have known of a version that this one does not know yet.
    if (!(await this.isUpToDateBy(now, req.dueAt))) return missing;
    const only = infer();
    return only ? { kind: "known", origin: only, from: "only_one" } : missing;
  }

  /** Resolves to whether the catalog is as new as the store was at the monotonic ms `at`, once it is or cannot be in time. */
  private async isUpToDateBy(at: number, dueAt: number): Promise<boolean> {
    const { clock: clk, catalogAgeMs } = this.deps;
    const latest = Math.min(at + UP_TO_DATE_WAIT_MS, dueAt);
    while (clk.mono() - catalogAgeMs() < at) {
      if (clk.mono() >= latest) return false;
      await clock.sleep(clk, UP_TO_DATE_POLL_MS);
    }
    return true;
  }

  /** The messages that a keeper must receive on a new connection: it may have started anew. */
  messagesFor(address: string): readonly messages.Begun[] {
    const now = this.deps.clock.mono();
    const isKeeper = (k: Keeper): boolean => k.address === address;
    const reported = this.own.live(now).filter(([, s]) => s.isReported);
    return reported.flatMap(([attempt, s]) =>
      this.keepersOf(attempt).some(isKeeper) ? [toMessage(attempt, s, now)] : [],
    );
  }

  /** Connections to the endpoint daemons that keep the origin of an attempt's stream. */
  private keepersOf(attempt: string): readonly Keeper[] {
    return this.deps.keepers(keeperKey(attempt), KEEPERS);
  }

  private onlyOrigin(route: catalog.Route): origin.Origin | undefined {
    if (this.deps.catalogAgeMs() > MAX_CATALOG_AGE_MS) return undefined;
    const memoryMs = originHistory.memoryMs(route);
    return origin.onlyOrigin([this.history.witness(route.name, memoryMs)], memoryMs);
  }

  private report(attempt: string, s: OwnStream): void {
    s.isReported = true;
    const m = toMessage(attempt, s, this.deps.clock.mono());
    for (const k of this.keepersOf(attempt)) k.send(m);
  }
}

/** The replies of those keepers that answer a question. */
async function ask(
  keepers: readonly Keeper[],
  question: Omit<messages.Find, "kind" | "question">,
): Promise<readonly Reply[]> {
  const replies = await Promise.all(
    keepers.map(async (k) => ({ peer: k.address, found: await k.findOrigin(question) })),
  );
  return replies.flatMap(({ peer, found }) => (found ? [{ peer, found }] : []));
}
