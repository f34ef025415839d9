/**
 * The endpoint daemon's TCP server: accepts connections from entry daemons and dispatches their
 * messages to the engine manager, the relays and the limiter.
 * @module
 */
import * as net from "node:net";
import * as addresses from "../host/address.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as announcer from "./announcer.js";
import type * as engineManager from "./engine-manager.js";
import type * as limiterOwner from "./limiter-owner.js";
import type * as noticeRelay from "./notice-relay.js";
import type * as originKeeper from "./continuation/origin-keeper.js";
import * as jsonLines from "./json-lines.js";
import type * as suspicionRelay from "./suspicion-relay.js";
import * as seatMessages from "./seat-messages.js";

export interface Deps {
  readonly log: structuredLog.Log;
  readonly engineManager: engineManager.EngineManager;
  readonly relay: suspicionRelay.SuspicionRelay;
  readonly limiter: limiterOwner.LimiterOwner;
  readonly notices: noticeRelay.NoticeRelay;
  readonly origins: originKeeper.OriginKeeper;
}

/** Listens at `ip:port` until `close` is called; `close` also ends all open connections. */
export async function listen(address: string, deps: Deps): Promise<{ readonly close: () => void }> {
  const sockets = new Set<net.Socket>();
  let count = 0;
  const server = net.createServer((socket) => {
    count++;
    sockets.add(socket);
    serve(socket, count, deps, () => sockets.delete(socket));
  });
  await addresses.listen(server, address);
  return {
    close: () => {
      server.close();
      for (const s of sockets) s.destroy();
    },
  };
}

/** Serves one connection; `count` numbers it, so that a reconnecting host counts as a new client. */
function serve(socket: net.Socket, count: number, deps: Deps, onClosed: () => void): void {
  let client: announcer.Client | undefined;
  const channel = jsonLines.openChannel<seatMessages.FromEntry, seatMessages.FromEndpoint>(
    socket,
    seatMessages.fromEntry,
    {
      message: (m) => {
        switch (m.kind) {
          case "hello":
            client = {
              host: `${m.host}.${count}`,
              send: channel.send,
              sendLine: channel.sendLine,
            };
            deps.engineManager.join(client);
            deps.relay.join(client);
            deps.limiter.join(client);
            deps.notices.join(client);
            deps.log.info("Entry daemon connected.", { peer: m.host });
            break;
          case "ask":
            if (client) deps.engineManager.ask(client, m);
            break;
          case "began":
            if (client) deps.engineManager.recordFirstEvent(client, m.seat, m.ms);
            break;
          case "over":
            if (client) deps.engineManager.endSeat(client, m.seat, m.how, m.stream);
            break;
          case "suspicion":
            if (client) deps.relay.receive(client, m);
            break;
          case "attach":
            if (client) deps.limiter.attach(client, m);
            break;
          case "keep":
            if (client) deps.limiter.keep(client);
            break;
          case "draw":
            if (client) deps.limiter.draw(client, m);
            break;
          case "refund":
            if (client) deps.limiter.refund(client, m);
            break;
          case "stream_begun":
            deps.origins.record(m);
            break;
          case "find_origin":
            channel.send(deps.origins.find(m));
            break;
          case "notice":
            if (client) deps.notices.receive(client, m);
            break;
        }
      },
      closed: (why) => {
        onClosed();
        if (!client) return;
        deps.engineManager.leave(client);
        deps.relay.leave(client);
        deps.limiter.leave(client);
        deps.notices.leave(client);
        deps.log.info("Entry daemon disconnected.", { peer: client.host, why });
      },
    },
  );
}
