/**
 * A stand-in for a plain service. It records every call it executed, so that tests see repeated calls.
 * @module
 */
import * as server from "./server.js";

/** A call that was executed. */
export interface ExecutedCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A service that answers every call with what it received. */
export class Service {
  readonly executedCalls: ExecutedCall[] = [];
  /** Number of coming calls that are executed but whose replies are lost. */
  loseReplies = 0;
  /** Milliseconds before each reply. */
  delayMs = 0;

  readonly handle: server.RequestHandler = async (req, res, body) => {
    if (req.url === "/journal") {
      server.sendJson(res, 200, this.executedCalls);
      return;
    }
    this.executedCalls.push({ method: req.method ?? "", path: req.url ?? "", body });
    if (this.delayMs > 0) await new Promise((r) => setTimeout(r, this.delayMs));
    if (this.loseReplies > 0) {
      this.loseReplies--;
      res.destroy();
      return;
    }
    server.sendJson(res, 200, {
      method: req.method,
      path: req.url,
      body,
      count: this.executedCalls.length,
    });
  };
}

/** Starts a service on `port`, or on a free port if it is 0. */
export async function start(
  port = 0,
): Promise<server.RunningServer & { readonly service: Service }> {
  const service = new Service();
  return { ...(await server.serve(service.handle, port)), service };
}
