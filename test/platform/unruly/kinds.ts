/**
 * Kinds of clients that do not behave: what they send on each connection, and whether they read the answers.
 * @module
 */

/** Where a client connects, and what it asks for there. */
export interface Door {
  readonly port: number;
  readonly path: string;
}

/** What a client does on each of its connections, which it opens again when they end. */
export interface Kind {
  /** What it sends first. */
  readonly first: (door: Door) => string;
  /** What it sends again and again after that; undefined for nothing. */
  readonly then?: (door: Door) => string;
  /** Bytes that it sends at a time, and the milliseconds between two of these; all at once if undefined. */
  readonly pieces?: { readonly bytes: number; readonly everyMs: number };
  /** Whether it waits for an answer before it sends anything again. */
  readonly waits?: true;
  /** Whether it reads the answers. */
  readonly reads: boolean;
  /** Whether it ends a connection with the first bytes of an answer. */
  readonly endsAtOnce?: true;
}

/** Bytes of the largest body, by the configuration of the site. */
export const BODY_BYTES = 4_194_304;
/** Fields of a head that is legal in size. */
const FIELDS = 2400;
/** Fields with names of their own of such a head. */
const EMPTY_FIELDS = 2600;
/** Requests that are sent ahead at a time. */
const AHEAD = 40;

const head = ({ path }: Door, method: string, fields: string): string =>
  `${method} ${path} HTTP/1.1\r\nhost: a.example\r\n${fields}\r\n`;

const id = (): string => `x-sumacfield-attempt-id: u${Math.random().toString(36).slice(2)}\r\n`;
const post = (door: Door, fields: string): string =>
  head(door, "POST", `${id()}x-sumacfield-deadline-ms: 15000\r\n${fields}`);
const shortFields = Array.from({ length: FIELDS }, (_, i) => `${(i % 9) + 1}:\r\n`).join("");
/** Fields of names of their own, as many as a legal head has room for. */
const emptyFields = Array.from({ length: EMPTY_FIELDS }, (_, i) => `${i.toString(36)}:\r\n`).join(
  "",
);
const chunksOfOne = (count: number): string => "1\r\nx\r\n".repeat(count);
const body = "x".repeat(BODY_BYTES);

export const KINDS = {
  "small requests ahead": {
    first: () => "",
    then: (door) => head(door, "GET", "").repeat(AHEAD),
    reads: false,
  },
  "small requests ahead, answers read": {
    first: () => "",
    then: (door) => head(door, "GET", "").repeat(AHEAD),
    reads: true,
  },
  "one-byte bodies ahead": {
    first: () => "",
    then: (door) =>
      Array.from({ length: AHEAD }, () => `${post(door, "content-length: 1\r\n")}x`).join(""),
    reads: false,
  },
  "many short fields": {
    first: () => "",
    then: (door) => head(door, "GET", shortFields),
    waits: true,
    reads: true,
  },
  "many short fields ahead": {
    first: () => "",
    then: (door) => head(door, "GET", shortFields).repeat(AHEAD),
    reads: false,
  },
  "many empty fields ahead": {
    first: (door) => `${post(door, `${emptyFields}content-length: 1\r\n`)}x`.repeat(AHEAD),
    reads: true,
    endsAtOnce: true,
  },
  "heads that do not end": {
    first: (door) => `POST ${door.path} HTTP/1.1\r\n`,
    then: () => "k:\r\n".repeat(4000),
    reads: true,
  },
  "large bodies": {
    first: () => "",
    then: (door) => post(door, `content-length: ${BODY_BYTES}\r\n`) + body,
    waits: true,
    reads: true,
  },
  "large bodies in pieces": {
    first: (door) => post(door, `content-length: ${BODY_BYTES}\r\n`),
    then: () => body,
    pieces: { bytes: 8, everyMs: 1 },
    reads: true,
  },
  "chunks of one byte": {
    first: (door) => post(door, "transfer-encoding: chunked\r\n"),
    then: () => chunksOfOne(10_000),
    reads: true,
  },
  "many trailers": {
    first: () => "",
    then: (door) =>
      `${post(door, "transfer-encoding: chunked\r\n")}1\r\nx\r\n0\r\n${shortFields}\r\n`,
    waits: true,
    reads: true,
  },
  "bodies over the limit": {
    first: (door) => post(door, `content-length: ${100 * BODY_BYTES}\r\n`),
    then: () => body,
    reads: true,
  },
  "bodies over the limit, in chunks": {
    first: (door) => post(door, "transfer-encoding: chunked\r\n"),
    then: () => `10000\r\n${"x".repeat(65_536)}\r\n`,
    reads: true,
  },
  "slow heads": {
    first: () => "",
    then: (door) => head(door, "GET", shortFields),
    pieces: { bytes: 2, everyMs: 500 },
    reads: true,
  },
  "slow bodies": {
    first: (door) => post(door, `content-length: ${BODY_BYTES}\r\n`),
    then: () => body,
    pieces: { bytes: 2, everyMs: 500 },
    reads: true,
  },
  "half a body": {
    first: (door) => post(door, `content-length: ${BODY_BYTES}\r\n`) + "x".repeat(100_000),
    reads: true,
  },
  "answers not read": {
    first: (door) =>
      post(door, `content-length: ${BODY_BYTES / 4}\r\n`) + "x".repeat(BODY_BYTES / 4),
    reads: false,
  },
  "no byte": { first: () => "", reads: true },
  "connections that end at once": {
    first: (door) => head(door, "GET", ""),
    reads: true,
    endsAtOnce: true,
  },
} as const satisfies Readonly<Record<string, Kind>>;

export type KindName = keyof typeof KINDS;
