/* global performance, setTimeout */
/**
 * A stand-in for a plain worker of the platform, by PROTOCOL.md: it names itself, rejects what is meant for another worker,
 * and runs each request for some time. It records what arrives, what it runs and what it answers.
 * @module
 */
import * as http from "node:http";
import { readBody } from "./store.mjs";

export class Worker {
  runs = [];

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

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The entry that it keeps in the store. */
  entry(state = "ready") {
    return {
      service: this.service,
      address: this.address,
      zone: "z",
      version: "1",
      slots: 64,
      state,
      coldRemainingMs: 0,
      sequence: 1,
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
