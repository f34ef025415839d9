/**
 * An HTTP client with at most one connection at a time, which identifies the connection that a request is written to.
 * @module
 */
import * as undici from "undici";

/** The use of a connection for one request. */
export interface Use {
  /** Number of the connection, unique in this process. */
  readonly connection: number;
  /** Requests written to the connection so far, this one included. */
  readonly position: number;
}

/** A request on its way to a connection, which receives the events of its answer. */
export interface Transfer extends undici.Dispatcher.DispatchHandler {
  /** Tells the client that takes the request, before it is written. */
  readonly assignTo: (connection: Connection) => void;
  /** Ends the request, of which nothing was written. */
  readonly fail: (err: Error) => void;
}

let lastNumber = 0;

/** One client of a pool. It connects anew when its connection has ended. */
export class Connection extends undici.Client {
  private current = 0;
  private written = 0;
  private connected = false;
  private busy = false;

  /** `onFree` is called when it can take a request, `onFailed` when it could not connect. */
  constructor(
    origin: string,
    opts: undici.Client.Options,
    onFree: () => void,
    onFailed: (c: Connection) => void,
  ) {
    super(origin, opts);
    this.on("connect", () => {
      this.current = ++lastNumber;
      this.written = 0;
      this.connected = true;
    });
    this.on("disconnect", () => {
      this.connected = false;
    });
    this.on("drain", () => {
      this.busy = false;
      onFree();
    });
    this.on("connectionError", () => {
      onFailed(this);
    });
  }

  /** Number of its current connection, or of its last one; 0 before the first. */
  get number(): number {
    return this.current;
  }

  get isConnected(): boolean {
    return this.connected;
  }

  /** Whether it has a request that has not ended. */
  get isBusy(): boolean {
    return this.busy;
  }

  /** Sends a request; its connection is made first if there is none. */
  send(opts: undici.Dispatcher.DispatchOptions, transfer: Transfer): void {
    transfer.assignTo(this);
    this.busy = !this.dispatch(opts, transfer);
  }

  /** Counts a request that is about to be written to the current connection. */
  recordWrite(): Use {
    return { connection: this.current, position: ++this.written };
  }
}
