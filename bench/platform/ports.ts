/**
 * Finds free ports for tests and the soak. A process gives out each port once, until the range is used up.
 * @module
 */
import * as net from "node:net";

/**
 * Range of ports, with the last one excluded. It lies below the ephemeral ports, which the system gives to sockets that
 * bind to port 0, so that no such socket can take one of them.
 */
const FIRST_PORT = 20_000;
const END_PORT = 32_000;

/** The next port to try. It starts at random, so that processes that run side by side try different ports. */
let nextPort = FIRST_PORT + Math.floor(Math.random() * (END_PORT - FIRST_PORT));

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

/** A port of `ip` on which nothing listens and that this process has not given out before. Throws if there is none. */
export async function findFree(ip = "127.0.0.1"): Promise<number> {
  for (let tried = FIRST_PORT; tried < END_PORT; tried++) {
    const port = nextPort;
    nextPort = port + 1 < END_PORT ? port + 1 : FIRST_PORT;
    if (await isFree(ip, port)) return port;
  }
  throw new Error(`no port of ${ip} is free`);
}
