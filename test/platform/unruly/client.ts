/**
 * A client that does not behave, as a process of its own: `node client.js KIND PORT PATH CONNECTIONS SECONDS`. Sends its figures to
 * its parent and ends by itself.
 * @module
 */
import * as net from "node:net";
import * as kinds from "./kinds.js";

/** What a client did. */
export interface Figures {
  readonly connections: number;
  readonly sentMb: number;
  readonly answers: Readonly<Record<string, number>>;
}

/** Milliseconds until a connection that ended is opened again, and new connections opened in each of these. */
const PAUSE_MS = 5;
const OPENED_AT_ONCE = 100;
const MS_PER_S = 1000;
const BYTES_PER_MB = 1_048_576;

const [name = "", port = "0", path = "/", count = "1", seconds = "1"] = process.argv.slice(2);
const kind: kinds.Kind = kinds.KINDS[name as kinds.KindName];
const door = { port: Number(port), path };
const again = Buffer.from(kind.then?.(door) ?? "");
const answers: Record<string, number> = {};
const open = new Set<net.Socket>();
let connections = 0;
let sentBytes = 0;

/** Sends bytes, all at once or in pieces, and then calls `done`. */
function send(socket: net.Socket, bytes: Buffer, done: () => void): void {
  const size = kind.pieces?.bytes ?? bytes.length;
  const next = (from: number): void => {
    if (socket.destroyed) return;
    if (from >= bytes.length) {
      done();
      return;
    }
    const isTaken = socket.write(bytes.subarray(from, from + size));
    const go = (): void => {
      next(from + size);
    };
    if (kind.pieces) setTimeout(go, kind.pieces.everyMs);
    else if (isTaken) setImmediate(go);
    else socket.once("drain", go);
  };
  next(0);
}

function connect(): void {
  connections++;
  const socket = net.connect({ port: door.port, host: "127.0.0.1", noDelay: true });
  open.add(socket);
  const repeat = (): void => {
    if (again.length > 0) send(socket, again, kind.waits ? () => undefined : repeat);
  };
  if (kind.reads)
    socket.on("data", (part: Buffer) => {
      for (const [, status = ""] of part.toString("latin1").matchAll(/HTTP\/1\.1 (\d{3}) /g))
        answers[status] = (answers[status] ?? 0) + 1;
      if (kind.endsAtOnce) socket.destroy();
      else if (kind.waits) repeat();
    });
  else socket.pause();
  socket.on("error", () => undefined);
  socket.once("close", () => {
    sentBytes += socket.bytesWritten;
    open.delete(socket);
    setTimeout(connect, PAUSE_MS);
  });
  socket.once("connect", () => {
    const first = Buffer.from(kind.first(door));
    if (kind.pieces) {
      socket.write(first);
      repeat();
    } else send(socket, first, repeat);
  });
}

function openAll(left: number): void {
  for (let i = 0; i < Math.min(left, OPENED_AT_ONCE); i++) connect();
  if (left > OPENED_AT_ONCE) setTimeout(openAll, PAUSE_MS, left - OPENED_AT_ONCE);
}

openAll(Number(count));
setTimeout(
  () => {
    for (const socket of open) sentBytes += socket.bytesWritten;
    const figures: Figures = { connections, sentMb: Math.round(sentBytes / BYTES_PER_MB), answers };
    process.send?.(figures, () => process.exit(0));
  },
  Number(seconds) * MS_PER_S,
);
process.once("disconnect", () => process.exit(0));
