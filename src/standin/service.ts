/**
 * A stand-in for a plain service. It notes every call it ran, so that a repeat shows.
 * @module
 */
import * as server from "./server.js";

/** One call that ran. */
export interface Ran {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

export class Service {
  readonly ran: Ran[] = [];
  /** So many of the next calls run, and their replies are lost. */
  loseReplies = 0;
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

/** Starts a service on `port`, or on a free one. */
export async function start(port = 0): Promise<server.Running & { readonly service: Service }> {
  const service = new Service();
  return { ...(await server.serve(service.handle, port)), service };
}
