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

/** Receives the connection that a request may be written to, before it is. */
export interface Assignee {
  readonly assignTo: (connection: Connection) => void;
}

/** A request for a connection. */
export interface Options extends undici.Dispatcher.DispatchOptions {
  readonly assignee: Assignee;
}

let lastNumber = 0;

/** One client of a pool. It connects anew when its connection has ended. */
export class Connection extends undici.Client {
  private number = 0;
  private written = 0;

  constructor(origin: string | URL, opts: undici.Client.Options) {
    super(origin, opts);
    this.on("connect", () => {
      this.number = ++lastNumber;
      this.written = 0;
    });
  }

  override dispatch(
    opts: undici.Dispatcher.DispatchOptions & Partial<Options>,
    handler: undici.Dispatcher.DispatchHandler,
  ): boolean {
    opts.assignee?.assignTo(this);
    return super.dispatch(opts, handler);
  }

  /** Counts a request that is about to be written to the current connection. */
  recordWrite(): Use {
    return { connection: this.number, position: ++this.written };
  }
}
