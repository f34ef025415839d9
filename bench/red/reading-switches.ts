/**
 * Mechanisms of reading callers' connections, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const READING_SWITCHES: readonly switches.Switch[] = [
  {
    name: "reading: a slice holds one head at most",
    file: "host/reading/slices.js",
    find: "return end < 0 ? window.length : end + HEAD_END.length;",
    put: "return window.length;",
    proof: "hold one head at most",
  },
  {
    name: "reading: few requests of a connection are open",
    file: "host/reading/paced-reader.js",
    find: "return state.open.length < MAX_OPEN;",
    put: "return true;",
    proof: "opens a few requests of a connection at a time, and each of them in the end",
  },
  {
    name: "reading: little of a body is parsed before it is wanted",
    file: "host/reading/paced-reader.js",
    find: "unwantedBytes < UNWANTED_BYTES",
    put: "true",
    proof: "parses little of a body before it is wanted, and then all",
  },
  {
    name: "reading: little is read of a connection that is being closed",
    file: "host/reading/paced-reader.js",
    find: "return c.discardedBytes < MAX_DISCARD_BYTES && this.mayRead(c);",
    put: "return true;",
    proof: "reads little of a connection that is being closed, and still sees its end",
  },
  {
    name: "reading: the fields of an answered request are released",
    file: "host/reading/paced-reader.js",
    find: "if (res.writableFinished)",
    put: "if (false)",
    proof: "keeps no fields of a request that has been answered",
  },
  {
    name: "reading: heads are limited by all their bytes",
    file: "host/reading/paced-reader.js",
    find: "c.headBytes += bytes;",
    put: "",
    proof: "refuses a head that is too long though its fields are short",
  },
  {
    name: "reading: connections without a byte are closed for new ones",
    file: "host/reading/connection-limit.js",
    find: "if (this.sockets.size >= this.max)",
    put: "if (false)",
    proof:
      "closes connections that have brought nothing for new ones, and not those with a request",
  },
  {
    name: "reading: no connection that waits for a response is closed",
    file: "host/reading/connection-limit.js",
    find: 'const CLOSED_FIRST = ["silent", "idle", "receiving"];',
    put: 'const CLOSED_FIRST = ["silent", "idle", "receiving", "busy"];',
    proof: "refuses a new connection if all others wait for responses",
  },
  {
    name: "reading: a turn ends with the charge of its last slice",
    file: "host/reading/paced-reader.js",
    find: "this.chargeLast(this.clk.steady());",
    put: "",
    proof: "charges a connection for what it has caused and not for the time until the next turn",
  },
  {
    name: "reading: none waits for as long as others send ahead",
    file: "host/reading/turn-queue.js",
    find: "++this.taken % OLDEST_EVERY === 0",
    put: "false",
    proof: "lets none wait while those before it are few, whatever comes later",
  },
  {
    name: "reading: large bodies wait while connections are accepted",
    file: "host/reading/paced-reader.js",
    find: "if (c.bodyBytes > slices.SLICE_BYTES && this.mustBodiesWait())",
    put: "if (false)",
    proof: "reads little of large bodies in turns that accept a connection",
  },
  {
    name: "reading: what has arrived ahead waits",
    file: "host/reading/paced-reader.js",
    find: "if (n > 0 && this.classOf(c) > 0)",
    put: "if (false)",
    proof: "parses little of what is sent ahead in turns that accept a connection",
  },
  {
    name: "reading: connections that have sent ahead are closed first",
    file: "host/reading/paced-reader.js",
    find: "if (holdsMuch(c))",
    put: "if (true)",
    proof:
      "closes the connections that have sent ahead and waited longest once too many bytes wait",
  },
  {
    name: "connections: nothing is taken after the responses are broken off",
    file: "serving/caller-server.js",
    find: "this.connections.takeNoMore();",
    put: "",
    proof: "takes no request that has not arrived whole, and says so",
  },
  {
    name: "reading: the fields of heads count as memory",
    file: "serving/buffering/hold.js",
    find: "if (!this.owner.mayHoldHead(bytes))",
    put: "if (false)",
    proof: "comes too late where the memory budget has no room for the fields of its head",
  },
  {
    name: "reading: all fields of a head are kept",
    file: "serving/early-listener.js",
    find: "server.maxHeadersCount = 0;",
    put: "",
    proof: "keeps all fields of a head",
  },
  {
    name: "lag: probes bound the wait to be accepted",
    file: "serving/overload/accept-queue.js",
    find: "since: Math.max(run.since, sentAt)",
    put: "since: run.since",
    proof: "stays small while every turn accepts a connection that has just arrived",
  },
  {
    name: "lag: no refusals that gain nothing",
    file: "serving/overload/served-part.js",
    find: "const LEAST_PART = 0.05;",
    put: "const LEAST_PART = 0;",
    proof: "do not help if few of what callers bring are requests that are served",
  },
];
