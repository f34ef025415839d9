/**
 * Ports for tests and the soak, each given out once by a process.
 * @module
 */
import * as net from "node:net";

/** Below those that the system gives to sockets which name none, so that none of these can take one. */
const FIRST = 20_000;
const LAST = 32_000;

/** Where this process goes on; processes that run side by side begin at different places. */
let next = FIRST + Math.floor(Math.random() * (LAST - FIRST));

function isFree(ip: string, port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, ip, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** A port of `ip` on which nothing listens and that this process has not given out before. */
export async function free(ip = "127.0.0.1"): Promise<number> {
  for (let tried = FIRST; tried < LAST; tried++) {
    const port = next;
    next = port + 1 < LAST ? port + 1 : FIRST;
    if (await isFree(ip, port)) return port;
  }
  throw new Error(`no port of ${ip} is free`);
}
