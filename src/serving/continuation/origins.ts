/**
 * The entry daemon's side of the origins of streams: it remembers those of its own, makes them known to others where streams may have
 * different ones, and finds the origin of a stream that a caller resumes here.
 *
 * While all streams of a route can have only one origin, as the register tells, nothing is made known, and a stream has that origin.
 * Otherwise a few endpoint daemons keep the origin of each stream, and the store holds those of streams that stay open for some time.
 * @module
 */
import type * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import * as hash from "../../host/hash.js";
import type * as structuredLog from "../../host/structured-log.js";
import type * as callerRequest from "../caller-request.js";
import type * as catalog from "../catalog.js";
import type * as link from "../link.js";
import * as expiringMap from "./expiring-map.js";
import type * as messages from "./messages.js";
import * as origin from "./origin.js";
import type * as originRegister from "./origin-register.js";
import * as streamAge from "./stream-age.js";
import type * as streamLog from "./stream-log.js";

/** Number of endpoint daemons that keep the origin of one stream. */
export const KEEPERS = 3;
/** Number of groups of streams; all streams of a group have the same keepers. */
const KEEPER_GROUPS = 256;
/** Most streams whose origins one host remembers; the oldest are dropped first. */
const MAX_STREAMS = 20_000;

/** Age of the catalog in ms beyond which this host does not rely on it alone; above the interval at which it is renewed. */
const MAX_CATALOG_AGE_MS = 3000;
/** Milliseconds between two checks whether streams that nobody else knows still have the only possible origin. */
const REVIEW_MS = 1000;

/** A connection to an endpoint daemon that may keep origins. */
export type Keeper = Pick<link.Link, "address" | "send" | "findOrigin">;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  /** Connections to the first `n` endpoint daemons in the order for a key. */
  readonly keepers: (key: string, n: number) => readonly Keeper[];
  readonly register: Pick<originRegister.OriginRegister, "lists" | "onlyOrigin" | "readOnlyOrigin">;
  readonly streamLog: Pick<streamLog.StreamLog, "add" | "remove" | "find">;
  /** The configuration in force. */
  readonly config: () => catalog.Config | undefined;
  /** Milliseconds since the catalog was last known to be as new as the store. */
  readonly catalogAgeMs: () => number;
}

/** Who knew the origin of a stream. */
export type Source = "own" | "keeper" | "only_one" | "log";

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
  /** Neither the endpoint daemons that may keep it nor the store replied. */
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
      /** Whether the store could be read. */
      readonly isStoreRead: boolean;
    };

/** A stream that began here. */
interface OwnStream extends expiringMap.Expiring {
  readonly origin: origin.Origin;
  readonly route: string;
  isReported: boolean;
  /** Whether its caller's connection has ended; the caller may resume it elsewhere. */
  hasEnded: boolean;
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
  /** Streams that nobody else knows and that may go on, by attempt. */
  private readonly unreported = new Map<string, OwnStream>();
  private timer: clock.Timer | undefined;

  constructor(private readonly deps: Deps) {}

  /** Number of streams remembered. */
  get size(): number {
    return this.own.size;
  }

  /** Whether resumable streams may begin at an origin: it is listed, so that all hosts take it into account. */
  mayBegin(o: origin.Origin): boolean {
    return this.deps.register.lists(o);
  }

  /** Whether all streams of a route can have only one origin, by what this host knows. */
  isOnlyOne(route: catalog.Route): boolean {
    const isFresh = this.deps.catalogAgeMs() <= MAX_CATALOG_AGE_MS;
    return isFresh && this.deps.register.onlyOrigin(route) !== undefined;
  }

  /** Records the origin of a stream that begins or goes on here, before its first event is passed on. */
  begun({ meta, route }: callerRequest.CallerRequest, o: origin.Origin): void {
    const attempt = meta.resumes ?? meta.id;
    if (!route.resumable || attempt === "") return;
    const now = this.deps.clock.mono();
    const expiresAt = now + streamAge.maxMs(route);
    const s = { origin: o, route: route.name, expiresAt, isReported: false, hasEnded: false };
    this.own.set(attempt, s, now);
    if (!this.isOnlyOne(route)) {
      this.report(attempt, s);
      return;
    }
    this.unreported.set(attempt, s);
    this.scheduleReview();
  }

  /** Records that a request has ended; `isWhole` says that its caller received a stream to its end. */
  ended({ meta }: callerRequest.CallerRequest, isWhole: boolean): void {
    const attempt = meta.resumes ?? meta.id;
    const s = this.own.get(attempt, this.deps.clock.mono());
    if (!s) return;
    s.hasEnded = true;
    if (isWhole) this.unreported.delete(attempt);
    this.deps.streamLog.remove(attempt, isWhole);
  }

  /** Makes streams known that now may have different origins. */
  review(): void {
    const now = this.deps.clock.mono();
    for (const [attempt, s] of this.unreported)
      if (s.expiresAt <= now) this.unreported.delete(attempt);
    const open = new Set([...this.unreported.values()].map((s) => s.route));
    const routes = this.deps.config()?.routes.filter((r) => open.has(r.name)) ?? [];
    const unambiguous = new Set(routes.filter((r) => this.isOnlyOne(r)).map((r) => r.name));
    for (const [attempt, s] of this.unreported)
      if (!unambiguous.has(s.route)) this.report(attempt, s);
    if (this.unreported.size > 0) this.scheduleReview();
  }

  private scheduleReview(): void {
    this.timer ??= this.deps.clock.after(REVIEW_MS, () => {
      this.timer = undefined;
      this.review();
    });
  }

  /** Finds the origin of the stream that a request resumes; unknown if nobody that is asked knows it for certain. */
  async find({ meta, route }: callerRequest.CallerRequest): Promise<Lookup> {
    const { resumes } = meta;
    const own = resumes === undefined ? undefined : this.own.get(resumes, this.deps.clock.mono());
    if (own) return { kind: "known", origin: own.origin, from: "own" };
    const reading = this.deps.register.readOnlyOrigin(route);
    const keepers = resumes === undefined ? [] : this.keepersOf(resumes);
    const replies = resumes === undefined ? [] : await ask(keepers, resumes);
    const records = replies.flatMap((r) => r.found.origin ?? []);
    const agreed = origin.agreedOrigin(records);
    if (agreed) {
      const peer = replies.find((r) => r.found.origin)?.peer;
      return { kind: "known", origin: agreed, from: "keeper", peer };
    }
    const unknown = (reason: UnknownReason, isStoreRead: boolean): Lookup => {
      return { kind: "unknown", reason, replies, asked: keepers.length, isStoreRead };
    };
    if (records.length > 0) return unknown("contradictory", false);
    const unrecorded = replies.length > 0 ? "unrecorded" : "unanswered";
    const read = await reading;
    if (read.kind === "unread") {
      this.logUnread(read.why);
      return unknown(resumes === undefined ? "unnamed" : unrecorded, false);
    }
    if (read.only) return { kind: "known", origin: read.only, from: "only_one" };
    if (resumes === undefined) return unknown("unnamed", true);
    try {
      const logged = await this.deps.streamLog.find(resumes);
      if (logged) return { kind: "known", origin: logged, from: "log" };
      return unknown("unrecorded", true);
    } catch (err) {
      this.logUnread(errors.messageOf(err));
      return unknown(unrecorded, false);
    }
  }

  private logUnread(why: string): void {
    this.deps.log.warn("The store could not be read for the origin of a stream.", { why });
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

  /** Makes the origin of an open stream known to its keepers, and has it written to the store. */
  private report(attempt: string, s: OwnStream): void {
    s.isReported = true;
    this.unreported.delete(attempt);
    const m = toMessage(attempt, s, this.deps.clock.mono());
    for (const k of this.keepersOf(attempt)) k.send(m);
    this.deps.streamLog.add(attempt, s.origin, !s.hasEnded);
  }
}

/** The replies of those keepers that answer the question for the origin of an attempt's stream. */
async function ask(keepers: readonly Keeper[], attempt: string): Promise<readonly Reply[]> {
  const replies = await Promise.all(
    keepers.map(async (k) => ({ peer: k.address, found: await k.findOrigin({ attempt }) })),
  );
  return replies.flatMap(({ peer, found }) => (found ? [{ peer, found }] : []));
}
