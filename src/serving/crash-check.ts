/**
 * Tells whether a worker whose connection broke has crashed. A broken connection alone does not
 * show that: connections are reset and hosts lose power. A worker that still listens a moment
 * later has not crashed.
 * @module
 */
import * as net from "node:net";
import * as addresses from "../host/address.js";
import type * as clock from "../host/clock.js";
import type * as catalog from "./catalog.js";

/**
 * Timeout in milliseconds of the connection attempt. If the worker's process has ended, its host
 * refuses the connection within a round trip, a few ms between failure domains; a longer silence
 * says nothing about the process. A request that may be sent on waits for the result.
 */
const CONNECT_TIMEOUT_MS = 150;
/**
 * Milliseconds for which a connection that was accepted is held. A process that crashes may close a connection first and end
 * a little later; its end closes this one too.
 */
const HOLD_MS = 40;
/** Milliseconds for which a crash found is shared; the worker may have started again at its address meanwhile. */
const CRASHED_MS = 500;
const REFUSED = "ECONNREFUSED";

/** Checks workers for crashes, with one connection attempt for all whose connections broke before it. */
export class CrashCheck {
  private readonly running = new Map<string, Promise<boolean>>();
  /** Checks that begin when the running one has ended. */
  private readonly next = new Map<string, Promise<boolean>>();
  private readonly crashed = new Set<string>();

  constructor(private readonly clk: clock.Clock) {}

  /**
   * Whether nothing listens any more at an endpoint's address. A check that began earlier may have connected before the crash,
   * so only its refusal counts.
   */
  hasCrashed(e: catalog.Endpoint): Promise<boolean> {
    if (this.crashed.has(e.id)) return Promise.resolve(true);
    const running = this.running.get(e.id);
    if (!running) return this.start(e);
    const next =
      this.next.get(e.id) ??
      running.then((hasCrashed) => {
        this.next.delete(e.id);
        return hasCrashed || this.start(e);
      });
    this.next.set(e.id, next);
    return next;
  }

  private async start(e: catalog.Endpoint): Promise<boolean> {
    const check = hasEnded(e.address, this.clk);
    this.running.set(e.id, check);
    const hasCrashed = await check;
    this.running.delete(e.id);
    if (!hasCrashed) return false;
    this.crashed.add(e.id);
    this.clk.after(CRASHED_MS, () => {
      this.crashed.delete(e.id);
    });
    return true;
  }
}

/** Whether the process that listens at an address has ended, or ends while a connection to it is held. */
async function hasEnded(address: string, clk: clock.Clock): Promise<boolean> {
  switch (await probe(address, clk, HOLD_MS)) {
    case "refused":
      return true;
    case "closed":
      // A worker at its limit of connections closes them too.
      return (await probe(address, clk, 0)) === "refused";
    case "open":
    case "silent":
      return false;
  }
}

/** What became of a connection: refused, closed by the other side while it was held, still open then, or not answered. */
type Probe = "refused" | "closed" | "open" | "silent";

/** Connects, and holds the connection for `holdMs`. */
function probe(address: string, clk: clock.Clock, holdMs: number): Promise<Probe> {
  return new Promise((resolve) => {
    const socket = net.connect(addresses.parse(address));
    const finish = (result: Probe): void => {
      timer.cancel();
      socket.destroy();
      resolve(result);
    };
    let isConnected = false;
    let timer = clk.after(CONNECT_TIMEOUT_MS, () => {
      finish("silent");
    });
    socket.once("connect", () => {
      isConnected = true;
      timer.cancel();
      timer = clk.after(holdMs, () => {
        finish("open");
      });
    });
    socket.once("end", () => {
      finish("closed");
    });
    socket.once("error", (err: NodeJS.ErrnoException) => {
      finish(isConnected ? "closed" : err.code === REFUSED ? "refused" : "silent");
    });
    socket.resume();
  });
}
