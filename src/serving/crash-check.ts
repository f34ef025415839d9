/**
 * Tells whether a worker whose connection broke has crashed. A broken connection alone does not
 * show that: connections are reset and hosts lose power. A worker that still listens has not
 * crashed.
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
/** Milliseconds for which a result is shared by all requests that broke off at the same time. */
const CACHE_MS = 500;
const REFUSED = "ECONNREFUSED";

/** Checks workers for crashes and shares the results for a short time. */
export class CrashCheck {
  private readonly results = new Map<string, Promise<boolean>>();

  constructor(private readonly clk: clock.Clock) {}

  /**
   * Whether nothing listens any more at an endpoint's address; concurrent callers share one
   * connection attempt.
   */
  hasCrashed(e: catalog.Endpoint): Promise<boolean> {
    const known = this.results.get(e.id);
    if (known) return known;
    const result = refuses(e.address, this.clk);
    this.results.set(e.id, result);
    this.clk.after(CACHE_MS, () => {
      this.results.delete(e.id);
    });
    return result;
  }
}

/** Whether a connection attempt is refused. */
function refuses(address: string, clk: clock.Clock): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(addresses.parse(address));
    const finish = (result: boolean): void => {
      timer.cancel();
      socket.destroy();
      resolve(result);
    };
    const timer = clk.after(CONNECT_TIMEOUT_MS, () => {
      finish(false);
    });
    socket.once("connect", () => {
      finish(false);
    });
    socket.once("error", (err: NodeJS.ErrnoException) => {
      finish(err.code === REFUSED);
    });
  });
}
