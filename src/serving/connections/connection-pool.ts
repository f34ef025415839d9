/**
 * The connections to one incarnation of an endpoint. Each carries one request at a time, and none carries a request twice.
 * @module
 */
import type * as undici from "undici";
import * as chooseConnection from "./choose-connection.js";
import * as connections from "./connection.js";

/** A request that waits for a connection. */
interface Waiting {
  readonly opts: undici.Dispatcher.DispatchOptions;
  readonly transfer: connections.Transfer;
  readonly carried: ReadonlySet<number>;
}

/** A pool of at most `limit` connections to `origin`. */
export class ConnectionPool {
  private readonly clients: connections.Connection[] = [];
  private readonly waiting: Waiting[] = [];
  private isClosing = false;

  constructor(
    private readonly origin: string,
    private readonly limit: number,
    private readonly clientOptions: undici.Client.Options,
  ) {}

  /**
   * Sends a request on a free connection that is not among those that `carried` it before, or else as soon as there is one.
   * Throws if the request is malformed.
   */
  dispatch(
    opts: undici.Dispatcher.DispatchOptions,
    transfer: connections.Transfer,
    carried: ReadonlySet<number>,
  ): void {
    const request = { opts, transfer, carried };
    const client = this.clientFor(request);
    if (client) client.send(opts, transfer);
    else this.waiting.push(request);
  }

  /** Closes the connections, each once the requests on it and those that wait have ended. */
  async close(): Promise<void> {
    this.isClosing = true;
    if (this.waiting.length > 0) return;
    await Promise.all(this.clients.filter((c) => !c.closed).map((c) => c.close()));
  }

  /** Closes the connections at once; requests in flight break off. */
  async destroy(): Promise<void> {
    for (const { transfer } of this.waiting.splice(0))
      transfer.fail(new Error("the connections to the endpoint are closed"));
    await Promise.all(this.clients.map((c) => c.destroy()));
  }

  private clientFor({ carried }: Waiting): connections.Connection | undefined {
    const choice = chooseConnection.choose(this.clients, this.limit, carried);
    switch (choice.kind) {
      case "use":
        return this.clients[choice.index];
      case "replace":
        for (const replaced of this.clients.splice(choice.index, 1)) void replaced.close();
        return this.open();
      case "open":
        return this.open();
      case "wait":
        return undefined;
    }
  }

  private open(): connections.Connection {
    const client = new connections.Connection(
      this.origin,
      this.clientOptions,
      () => {
        this.sendWaiting();
      },
      (failed) => {
        const index = this.clients.indexOf(failed);
        if (index >= 0) this.clients.splice(index, 1);
        this.sendWaiting();
      },
    );
    this.clients.push(client);
    return client;
  }

  private sendWaiting(): void {
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const client = this.clientFor(next);
      if (!client) return;
      this.waiting.shift();
      try {
        client.send(next.opts, next.transfer);
      } catch (err) {
        next.transfer.fail(err instanceof Error ? err : new Error(String(err)));
      }
    }
    if (this.isClosing) void this.close();
  }
}
