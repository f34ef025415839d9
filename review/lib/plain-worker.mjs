/* global setTimeout */
/**
 * A plain worker by the users' page: it runs `slots` requests at once and queues a few more, rejects others with 503 and
 * X-Sumacfield-Not-Executed, echoes the attempt's id, and signs what it ran.
 */
import * as http from "node:http";

export class PlainWorker {
  runs = [];
  running = 0;
  waiting = [];
  rejected = 0;
  extras = 0;
  /** Decides for each answer whether a second one follows, late: where the next response is expected. */
  hasExtra = () => false;

  constructor(id, { slots, queue, workMs }, record) {
    Object.assign(this, { id, slots, queue, workMs, record });
    this.extraOf = new WeakMap();
    this.server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
      this.answer(req, res);
    });
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  answer(req, res) {
    if (req.url === "/healthz") {
      res.writeHead(200, { "x-sumacfield-instance-id": this.id, "content-length": 0 }).end();
      return;
    }
    const id = req.headers["x-sumacfield-attempt-id"];
    const extra = this.extraOf.get(req.socket);
    if (extra) {
      this.extraOf.delete(req.socket);
      req.socket.write(extra.bytes);
      this.record.add(`${this.id} sends its second answer to ${extra.id} late, as ${id} arrives`);
    }
    req.resume();
    req.once("end", () => this.admit(id, req, res));
  }

  admit(id, req, res) {
    const meant = req.headers["x-sumacfield-expect-instance"];
    if (meant !== undefined && meant !== this.id)
      return this.reject(id, res, 421, "is another worker");
    if (this.running >= this.slots && this.waiting.length >= this.queue) {
      this.rejected++;
      return this.reject(id, res, 503, "is full");
    }
    if (this.running < this.slots) return this.run(id, res);
    this.waiting.push(() => this.run(id, res));
  }

  reject(id, res, status, why) {
    this.record.add(`${this.id} ${why}: rejects ${id} with ${status}, not executed`);
    this.send(res, id, status, { "x-sumacfield-not-executed": "1" }, "");
  }

  run(id, res) {
    if (res.destroyed) return this.next();
    this.running++;
    this.runs.push(id);
    this.record.add(`${this.id} runs ${id}`);
    setTimeout(() => {
      this.running--;
      const signature = { "x-sumacfield-server-signature": `${this.id}.${id}` };
      this.send(res, id, 200, signature, `answer to ${id}`);
      this.next();
    }, this.workMs);
  }

  next() {
    if (this.running < this.slots) this.waiting.shift()?.();
  }

  send(res, id, status, headers, body) {
    const { socket } = res;
    if (!socket || res.destroyed) return;
    const all = { "x-sumacfield-attempt-id": id, ...headers, "content-length": body.length };
    res.writeHead(status, all);
    res.end(body);
    if (!this.hasExtra()) return;
    this.extras++;
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    const bytes = `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n${lines.join("")}\r\n${body}`;
    this.extraOf.set(socket, { id, bytes });
  }
}
