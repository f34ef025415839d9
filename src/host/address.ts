/**
 * Parses `ip:port` addresses and makes servers listen on them. Imports only Node's own modules, so
 * that a daemon can open its port before the rest of its code is loaded.
 * @module
 */
import type * as net from "node:net";

/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits `ip:port`; does not validate it. */
export function parse(text: string): Address {
  const [host = "", port] = text.split(":");
  return { host, port: Number(port) };
}

/** Listens on `ip:port`, where port 0 takes any free port; resolves with the address bound. */
export function listen(server: net.Server, address: string, backlog?: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...parse(address), ...(backlog !== undefined && { backlog }) }, () => {
      const bound = server.address() as net.AddressInfo;
      resolve(`${bound.address}:${bound.port}`);
    });
  });
}
