/**
 * A stand-in for a plain service. It records every call it executed, so that tests see repeated calls.
 * @module
 */
import * as server from "./server.js";

/** A call that was executed. */
export interface Ran {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A service that answers every call with what it received. */
export class Service {
  readonly ran: Ran[] = [];
  /** Number of coming calls that are executed but whose replies are lost. */
  loseReplies = 0;
  /** Milliseconds before each reply. */
  delayMs = 0;

  readonly handle: server.Handle = async (req, res, body) => {
    if (req.url === "/journal") {
      server.json(res, 200, this.ran);
      return;
    }
    this.ran.push({ method: req.method ?? "", path: req.url ?? "", body });
    if (this.delayMs > 0) await new Promise((r) => setTimeout(r, this.delayMs));
    if (this.loseReplies > 0) {
      this.loseReplies--;
      res.destroy();
      return;
    }
    server.json(res, 200, { method: req.method, path: req.url, body, count: this.ran.length });
  };
}

/** Starts a service on `port`, or on a free port if it is 0. */
export async function start(port = 0): Promise<server.Running & { readonly service: Service }> {
  const service = new Service();
  return { ...(await server.serve(service.handle, port)), service };
}
