/**
 * A fleet in virtual time before one worker that names a limit: the entry daemons' and endpoint daemons' parts in keeping
 * it, with hosts that are killed, stopped, cut off and frozen, and requests that wait and connect before they arrive.
 * @module
 */
import * as structuredLog from "../../src/host/structured-log.js";
import type * as catalog from "../../src/serving/catalog.js";
import * as limiter from "../../src/serving/limiter.js";
import * as limiterOwner from "../../src/serving/limiter-owner.js";
import * as noticeRelay from "../../src/serving/notice-relay.js";
import * as notices from "../../src/serving/notices.js";
import * as workerNotices from "../../src/serving/worker-notices.js";
import * as fleet from "../caps/fleet.js";
import * as wire from "../caps/wire.js";
import type * as time from "../measure/time.js";

/** Endpoint daemons that may keep the limit. */
const PLACES = 3;
/** Milliseconds within which a host that has just started is connected to all of them. */
const LINKS_MS = 600;
/** Milliseconds that a request waits for a seat, and to connect, at most; and that the worker takes. */
const SEAT_MS = 400;
const CONNECT_MS = 300;
const WORK_MS = 200;
/** Milliseconds for which a process that was told to stop serves on. */
const GRACE_MS = 5000;
/** Part of the requests to a host that come on connections to such a process. */
const KEPT_PART = 0.5;

const WORKER: catalog.Endpoint = {
  id: "w1",
  address: "10.0.0.1:1",
  domain: "d1",
  labels: {},
  seats: 8,
  leaving: false,
};

/** A request that reached the worker. */
export interface Arrival {
  readonly at: number;
  /** Virtual ms at which its process first passed on an answer that names a limit; Infinity while it has not. */
  readonly toldAt: number;
  /** Whether its process knew of the limit when it sent the request. */
  readonly knew: boolean;
  /** Whether what the process met since excuses it, by the users' rule. */
  readonly isExcused: boolean;
}

/** One life of an entry daemon. */
class Process {
  readonly wires: readonly wire.Wire[];
  readonly notices: workerNotices.WorkerNotices;
  private readonly shared: limiter.Limiter;
  private hosts: number | undefined;
  toldAt = Infinity;
  private over = false;

  constructor(
    readonly fleet: Fleet,
    readonly name: string,
  ) {
    const { clk } = fleet;
    this.shared = new limiter.Limiter({
      clock: clk,
      log: structuredLog.silent,
      totals: () => this.notices.totals(),
      ownerCandidates: (_key, n) => this.wires.slice(0, n),
      hostCount: () => this.hosts,
    });
    this.notices = new workerNotices.WorkerNotices({
      clock: clk,
      log: structuredLog.silent,
      limiter: this.shared,
      send: (_e, m) => {
        for (const w of this.wires) w.send(m);
      },
      random: fleet.random,
    });
    this.wires = fleet.places.map((_p, p) => this.wire(p));
  }

  private wire(p: number): wire.Wire {
    return new wire.Wire({
      clk: this.fleet.clk,
      name: this.name,
      address: `place-${p}`,
      place: () => this.fleet.places[p],
      host: () => (this.hasEnded() ? undefined : this.part),
      stands: () => {
        this.hosts = this.fleet.size;
      },
      sent: () => {
        this.fleet.messages++;
      },
    });
  }

  private readonly part: wire.Host = {
    greeting: (address) => [
      ...this.notices.snapshot(() => true),
      ...this.shared.attachMessagesFor(address),
    ],
    hear: (m, address) => {
      if (m.kind === "notice") this.notices.merge(m, address);
    },
  };

  /** Whether it was ended; it may be at any time. */
  hasEnded(): boolean {
    return this.over;
  }

  connect(p: number): void {
    if (!this.hasEnded()) this.wires[p]?.connect();
    this.shared.refresh();
  }

  end(): void {
    this.over = true;
    this.shared.close();
    for (const w of this.wires) w.lose();
  }
}

export interface Options {
  readonly hosts: number;
  readonly random: () => number;
}

export class Fleet {
  readonly places: wire.Place[] = [];
  /** What the worker names; undefined while it names nothing. */
  perS: number | undefined;
  readonly arrivals: Arrival[] = [];
  /** Requests that went elsewhere at once. */
  elsewhere = 0;
  messages = 0;
  private readonly processes: Process[] = [];
  /** Processes that were told to stop and serve on, by host. */
  private readonly stopping = new Map<number, Process>();
  private readonly frozen = new Set<number>();
  /** Virtual ms until which what a host met excuses it. */
  private readonly excusedUntil = new Map<number, number>();

  constructor(
    private readonly opts: Options,
    readonly clk: time.Time,
  ) {
    for (let p = 0; p < PLACES; p++) this.places.push(this.place());
    for (let h = 0; h < opts.hosts; h++) this.start(h);
  }

  get size(): number {
    return this.opts.hosts;
  }

  get random(): () => number {
    return this.opts.random;
  }

  private place(): wire.Place {
    const kept = fleet.placeOf(
      new limiterOwner.LimiterOwner({ clock: this.clk, log: structuredLog.silent }),
    );
    const told = new noticeRelay.NoticeRelay(this.clk, () => undefined);
    return {
      join: (c) => {
        kept.join(c);
        told.join(c);
      },
      leave: (c) => {
        kept.leave(c);
        told.leave(c);
      },
      hear: (c, m) => {
        if (m.kind === "notice") told.receive(c, m);
        else kept.hear(c, m);
      },
    };
  }

  private start(h: number): void {
    const made = new Process(this, `host-${h}.${this.clk.mono()}`);
    this.processes[h] = made;
    for (let p = 0; p < PLACES; p++) {
      this.clk.after(this.opts.random() * LINKS_MS, () => {
        made.connect(p);
      });
    }
  }

  /** The process that a request to a host meets: one that stops still serves those on its kept connections. */
  private serving(h: number): Process | undefined {
    const old = this.stopping.get(h);
    return old && !old.hasEnded() && this.random() < KEPT_PART ? old : this.processes[h];
  }

  /** A request that only the worker serves well comes to a host. */
  async request(h: number): Promise<void> {
    const { clk, random } = this;
    const at = this.serving(h);
    if (!at || at.hasEnded() || this.frozen.has(h)) return;
    const permit = await at.notices.admit(WORKER);
    if (permit.kind === "out") {
      this.elsewhere++;
      return;
    }
    await clk.wait(permit.delayMs + random() * SEAT_MS);
    if (!permit.isGood() || at.hasEnded()) {
      permit.release();
      this.elsewhere++;
      return;
    }
    const sentAt = clk.mono();
    const knew = at.notices.of(WORKER.id) !== undefined;
    await clk.wait(random() * CONNECT_MS);
    if (at.hasEnded()) return;
    const excusedUntil = this.excusedUntil.get(h) ?? -Infinity;
    this.arrivals.push({
      at: clk.mono(),
      toldAt: at.toldAt,
      knew,
      isExcused: clk.mono() < excusedUntil,
    });
    const { perS } = this;
    await clk.wait(random() * WORK_MS);
    if (at.hasEnded()) return;
    if (perS !== undefined) at.toldAt = Math.min(at.toldAt, clk.mono());
    const limit = perS === undefined ? notices.ABSENT : { kind: "said" as const, value: perS };
    const notice = { ...notices.EMPTY, limit };
    at.notices.observe(WORKER, { request: "r", notice, sentAt, ran: true });
  }

  /** Kills a host's process and starts another. */
  kill(h: number): void {
    this.processes[h]?.end();
    this.start(h);
  }

  /** Tells a host's process to stop; it serves on for a while beside the next one. */
  stop(h: number): void {
    const old = this.processes[h];
    if (old) this.stopping.set(h, old);
    this.start(h);
    this.clk.after(GRACE_MS, () => {
      old?.end();
    });
  }

  /** A host is gone for good. */
  lose(h: number): void {
    this.processes[h]?.end();
  }

  /** Cuts a host off from all endpoint daemons, or ends that. */
  cut(h: number, on: boolean): void {
    for (const w of this.processes[h]?.wires ?? []) w.cut(on);
  }

  /** Cuts hosts off from one endpoint daemon, or freezes that for all of them, or ends that. */
  cutPlace(p: number, on: boolean): void {
    for (const at of this.processes) at.wires[p]?.cut(on);
  }

  /** Freezes a host, or ends that; by the users' rule it is excused until a while after. */
  freeze(h: number, on: boolean, excusedMs: number): void {
    if (on) this.frozen.add(h);
    else this.frozen.delete(h);
    this.excusedUntil.set(h, this.clk.mono() + excusedMs);
    this.cut(h, on);
  }

  /** Kills an endpoint daemon and starts it again `downMs` later. */
  killPlace(p: number, downMs: number): void {
    for (const at of this.processes) at.wires[p]?.lose();
    this.places[p] = this.place();
    this.clk.after(downMs, () => {
      for (const at of this.processes) at.connect(p);
    });
  }
}
