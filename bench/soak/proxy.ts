/**
 * A loopback TCP proxy that can delay connections, reset them, or hold their bytes in one direction or both.
 * @module
 */
import * as timers from "node:timers/promises";
import * as net from "node:net";

/** Fault of a link. */
export type LinkFault =
  | { readonly kind: "none" }
  /** Each chunk is delayed by `ms` milliseconds. */
  | { readonly kind: "delay"; readonly ms: number }
  /** No bytes pass, on new connections neither. */
  | { readonly kind: "silence" }
  /** Only the client's bytes or only the server's bytes are held. */
  | { readonly kind: "one_way"; readonly hold: "requests" | "answers" };

/** A client's connection to the proxy (`near`) and the proxy's connection to the target (`far`). */
interface Pair {
  readonly near: net.Socket;
  readonly far: net.Socket;
}

/** Forwards connections from one port to another address. */
export class Proxy {
  private fault: LinkFault = { kind: "none" };
  private readonly pairs = new Set<Pair>();
  private readonly resumeListeners = new Set<() => void>();
  private readonly server = net.createServer((near) => {
    this.accept(near);
  });

  constructor(private target: () => string) {}

  /** Listens on `host` at `port`; port 0 picks a free one. A stopped proxy may be started again. */
  async start(host: string, port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => {
        this.server.off("error", reject);
        resolve();
      });
    });
    return `${host}:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Closes the port, so that new connections are refused, and closes the existing connections. */
  stop(): void {
    this.server.close();
    for (const p of this.pairs) {
      p.near.destroy();
      p.far.destroy();
    }
  }

  /** Sets the fault of the link, for existing and new connections. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    for (const go of this.resumeListeners) go();
  }

  /** Resets a random share of the connections. */
  reset(part: number, random: () => number): void {
    for (const p of this.pairs) {
      if (random() >= part) continue;
      p.near.resetAndDestroy();
      p.far.resetAndDestroy();
    }
  }

  private accept(near: net.Socket): void {
    const [host, port] = this.target().split(":");
    const far = net.connect({ host, port: Number(port) });
    const pair = { near, far };
    this.pairs.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    void this.pump(near, far, "requests");
    void this.pump(far, near, "answers");
    const remove = (): void => {
      this.pairs.delete(pair);
    };
    near.once("close", remove);
    far.once("close", remove);
  }

  private isHeld(which: "requests" | "answers"): boolean {
    const t = this.fault;
    switch (t.kind) {
      case "silence":
        return true;
      case "one_way":
        return t.hold === which;
      case "none":
      case "delay":
        return false;
    }
  }

  /** Waits until bytes of one direction may pass. Returns false if the connection closes first. */
  private async mayPass(which: "requests" | "answers", socket: net.Socket): Promise<boolean> {
    if (this.fault.kind === "delay") await timers.setTimeout(this.fault.ms);
    while (this.isHeld(which) && !socket.destroyed) {
      await new Promise<void>((resolve) => {
        const go = (): void => {
          this.resumeListeners.delete(go);
          socket.off("close", go);
          resolve();
        };
        this.resumeListeners.add(go);
        socket.once("close", go);
      });
    }
    return !socket.destroyed;
  }

  /** Forwards one direction, including its end or its reset. */
  private async pump(
    from: net.Socket,
    to: net.Socket,
    which: "requests" | "answers",
  ): Promise<void> {
    try {
      for await (const part of from as AsyncIterable<Buffer>) {
        if (!(await this.mayPass(which, to))) return;
        if (!to.write(part)) await new Promise((resolve) => to.once("drain", resolve));
      }
      if (await this.mayPass(which, to)) to.end();
    } catch {
      // A reset on one side is passed on as a reset on the other, since resets are a fault that this proxy must reproduce.
      to.resetAndDestroy();
    }
  }
}
