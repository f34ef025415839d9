/**
 * A caller's raw connection, on which requests may be sent ahead or in parts, and the responses that it brings.
 * @module
 */
import * as net from "node:net";

/** A response that has arrived whole. */
export interface Response {
  readonly status: number;
  /** Id of the attempt that it answers; empty if it names none. */
  readonly id: string;
  readonly announcesClose: boolean;
}

const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "\r\n0\r\n\r\n";

/** The bytes of a request; `id` names the attempt. */
export function requestText(path: string, id: string, deadlineMs = 15_000): string {
  const fields = [
    "host: a.example",
    `x-sumacfield-attempt-id: ${id}`,
    `x-sumacfield-deadline-ms: ${deadlineMs}`,
  ];
  return `GET ${path} HTTP/1.1\r\n${fields.join("\r\n")}${HEAD_END}`;
}

/** A connection. */
export class RawConnection {
  readonly responses: Response[] = [];
  /** Whether the host has ended or reset it. */
  isEnded = false;
  /** Called when a response has arrived whole. */
  onResponse: () => void = () => undefined;
  onEnd: () => void = () => undefined;
  private readonly socket: net.Socket;
  private text = "";

  constructor(port: number) {
    this.socket = net.connect({ port, host: "127.0.0.1", noDelay: true, allowHalfOpen: true });
    this.socket.on("data", (part: Buffer) => {
      this.text += part.toString("latin1");
      this.parse();
    });
    const end = (): void => {
      if (this.isEnded) return;
      this.isEnded = true;
      this.onEnd();
    };
    this.socket.on("end", end).on("close", end);
    this.socket.on("error", () => undefined);
  }

  /** Sends bytes, unless the connection has ended. Returns whether it did. */
  send(text: string): boolean {
    if (!this.isEnded) this.socket.write(text, "latin1");
    return !this.isEnded;
  }

  close(): void {
    this.socket.destroy();
  }

  private parse(): void {
    for (let length = this.nextLength(); length !== undefined; length = this.nextLength()) {
      const head = this.text.slice(0, this.text.indexOf(HEAD_END));
      this.text = this.text.slice(length);
      this.responses.push({
        status: Number(head.split(" ")[1]),
        id: /^x-sumacfield-attempt-id: (\S+)/im.exec(head)?.[1] ?? "",
        announcesClose: /^connection: close/im.test(head),
      });
      this.onResponse();
    }
  }

  /** Characters of the next response; undefined unless all of it has arrived. */
  private nextLength(): number | undefined {
    const headEnd = this.text.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = this.text.slice(0, headEnd);
    const from = headEnd + HEAD_END.length;
    if (/^transfer-encoding: chunked/im.test(head)) {
      const last = this.text.indexOf(LAST_CHUNK, from - 2);
      return last < 0 ? undefined : last + LAST_CHUNK.length;
    }
    const to = from + Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    return to <= this.text.length ? to : undefined;
  }
}
