/* global clearInterval, performance, setInterval, setTimeout */
/**
 * A stand-in for a plain worker of the platform, by PROTOCOL.md: it names itself, rejects what is meant for another worker,
 * and runs each request for some time. It records what arrives, what it runs and what it answers.
 * @module
 */
import * as http from "node:http";
import { readBody } from "./store.mjs";

/** Milliseconds between two writes of its entry: `heartbeatMs` of the settings. */
const HEARTBEAT_MS = 1200;

export class Worker {
  runs = [];
  state = "ready";
  sequence = 0;

  /** `workMs` is how long a request takes; `record` is called with a line for each event. */
  constructor(service, id, workMs, record, born) {
    Object.assign(this, { service, id, workMs, record, born });
  }

  async start(port = 0) {
    this.server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
      this.answer(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => this.server.listen(port, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
  }

  /** Ends at once, as in a crash or an exit. */
  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Keeps its entry in the store from now on. */
  register(store) {
    this.store = store;
    this.writeEntry();
    this.timer = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
  }

  /** Reports that it drains; returns once the store has acknowledged that. */
  drain() {
    this.state = "draining";
    this.writeEntry();
  }

  writeEntry() {
    this.sequence++;
    this.store.put(`servers/${this.id}`, this.entry());
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: "z",
      version: "1",
      slots: 64,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      ...(this.born !== undefined && { born: this.born }),
    };
  }

  async answer(req, res) {
    const said = { "x-sumacfield-instance-id": this.id };
    if (req.url === "/healthz") {
      res.writeHead(200, { ...said, "content-length": 0 }).end();
      return;
    }
    const id = req.headers["x-sumacfield-attempt-id"] ?? "";
    const body = await readBody(req);
    const names = { ...said, "x-sumacfield-attempt-id": id };
    const expected = req.headers["x-sumacfield-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.record(`worker ${this.id}: ${id} is meant for ${expected}, 421`);
      res.writeHead(421, { ...names, "content-length": 0 }).end();
      return;
    }
    const run = { id, at: performance.now(), ended: "open" };
    this.runs.push(run);
    this.record(`worker ${this.id}: runs ${id}`);
    res.once("close", () => {
      run.ended = res.writableFinished ? "answered" : "connection closed";
      this.record(`worker ${this.id}: ${id} ${run.ended}`);
    });
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    if (res.destroyed) return;
    const text = `${id} got ${body.length}`;
    res.writeHead(200, {
      ...names,
      "x-sumacfield-server-signature": `${this.id}.${id}`,
      "content-length": text.length,
    });
    res.end(text);
  }
}
