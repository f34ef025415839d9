/**
 * What stands before the endpoint daemon in a measurement: an entry daemon, or a bare pass-through
 * over undici. Run as a process: `front.js entry|bare JSON`; it prints its address.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream/promises";
import * as undici from "undici";
import * as entry from "../../src/entry/daemon.js";
import * as settings from "../../src/host/settings.js";

interface Given {
  readonly upstream: string;
  readonly settings: Readonly<Record<string, string>>;
}

const given = JSON.parse(process.argv[3] ?? "{}") as Given;

/** Forwards whatever comes, and looks at nothing. */
function bare(): void {
  const agent = new undici.Agent({ connections: 2048 });
  const server = http.createServer((req, res) => {
    const headers: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(req.headers)) {
      if (value !== undefined && name !== "host" && name !== "connection") headers[name] = value;
    }
    const { method = "GET", url: path = "/" } = req;
    agent
      .request({
        origin: `http://${given.upstream}`,
        path,
        method: method,
        headers,
        body: req,
      })
      .then(async (got) => {
        res.writeHead(got.statusCode, got.headers as http.OutgoingHttpHeaders);
        await stream.pipeline(got.body, res);
      })
      .catch(() => res.destroy());
  });
  server.listen(0, "127.0.0.1", () => {
    process.stdout.write(`127.0.0.1:${(server.address() as net.AddressInfo).port}\n`);
  });
}

if (process.argv[2] === "entry") {
  const running = await entry.start(settings.read(entry.SETTINGS, given.settings, {}));
  process.stdout.write(`${running.callersAddress}\n`);
} else bare();
