import * as clock from "../../src/host/clock.js";
import * as connections from "../../src/host/connections/connections.js";

const refusal = (status: number): string =>
  `HTTP/1.1 ${status} Refused\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;

/** Keeps the connections of a test's server. */
export function create(): connections.Connections {
  return new connections.Connections(clock.system, {
    unreadable: () => refusal(400),
    stopping: refusal(503),
  });
}
