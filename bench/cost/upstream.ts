/**
 * An endpoint daemon that only answers, for measuring what stands before it. Run as a process; it
 * prints its address.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as clock from "../../src/host/clock.js";
import * as control from "../../src/link/control.js";
import * as keys from "../../src/link/keys.js";
import * as wire from "../../src/link/wire.js";
import * as site from "../site.js";

const NAME = "engine-0";
const EVENTS = 20;
const EVENT = `data: ${JSON.stringify({ id: "x", model: "a@1", choices: [{ text: "word " }] })}\n\n`;
const WHOLE = JSON.stringify({
  id: "x",
  model: "a@1",
  choices: [{ text: "word ".repeat(EVENTS) }],
});

const news: wire.EndpointReport = {
  endpoint: NAME,
  epoch: "cost",
  seq: 1,
  state: "serving",
  running: 0,
  waiting: 0,
  seats: 4096,
  loaded: ["captions@1"],
  coming: [],
  serviceMs: 1,
  loadMs: 1,
  revision: 1,
};
const handler: control.Handler = {
  endpointReport: () => news,
  status: () => {
    throw new Error("not measured");
  },
  changesAfter: () => ({ kind: "changes", changes: [] }),
  receiveIntent: () => 1,
  cancel: () => ({ kind: "not_run" }),
  askTurn: () => ({ kind: "go" }),
  endTurn: () => undefined,
  explain: () => [],
};
const takeControl = control.serve(NAME, handler, keys.createVerifier([site.KEY], clock.system), {
  bytes: 0,
});
const encoded = wire.encode(news);

function answer(req: http.IncomingMessage, res: http.ServerResponse, body: Buffer): void {
  const given = req.headers[wire.HEADER.attempt];
  const headers = {
    [wire.HEADER.attempt]: given ? wire.decode(wire.attempt, given).id : "",
    [wire.HEADER.outcome]: "ran",
    [wire.HEADER.news]: encoded,
  };
  if (!body.includes('"stream":true')) {
    res.writeHead(200, {
      ...headers,
      "content-type": "application/json",
      "content-length": WHOLE.length,
    });
    res.end(WHOLE);
    return;
  }
  res.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  let left = EVENTS;
  const next = (): void => {
    left--;
    if (left === 0) {
      res.end("data: [DONE]\n\n");
      return;
    }
    res.write(EVENT);
    setImmediate(next);
  };
  next();
}

const server = http.createServer((req, res) => {
  if (req.url?.startsWith(wire.CONTROL_PATH)) {
    void takeControl(req, res);
    return;
  }
  const parts: Buffer[] = [];
  req.on("data", (part: Buffer) => parts.push(part));
  req.on("end", () => {
    answer(req, res, Buffer.concat(parts));
  });
});
server.listen(0, "127.0.0.1", () => {
  process.stdout.write(`127.0.0.1:${(server.address() as net.AddressInfo).port}\n`);
});
