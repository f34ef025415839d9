/* global setTimeout */
/** A proxy on loopback that delays each chunk, and the end of each side, by the same time one way. */
import * as net from "node:net";

export class DelayProxy {
  constructor(target, ms) {
    this.sockets = new Set();
    this.server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      const far = net.connect({
        port: target,
        host: "127.0.0.1",
        allowHalfOpen: true,
        noDelay: true,
      });
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        this.sockets.add(from);
        from.on("data", (chunk) => setTimeout(() => to.write(chunk), ms));
        from.on("end", () => setTimeout(() => to.end(), ms));
        from.on("error", () => setTimeout(() => to.resetAndDestroy(), ms));
        from.on("close", () => this.sockets.delete(from));
      }
    });
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
  }

  stop() {
    this.server.close();
    for (const s of this.sockets) s.destroy();
  }
}
