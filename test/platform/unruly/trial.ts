/**
 * Plays clients that do not behave and prints the figures: `node trial.js SECONDS KIND/COUNT/DOOR ...`. The environment
 * variable `TRIAL_LOG` names a file for the daemon's log.
 * @module
 */
import * as fs from "node:fs";
import * as timers from "node:timers/promises";
import type * as kinds from "./kinds.js";
import * as sites from "./site.js";

const [seconds = "5", ...plays] = process.argv.slice(2);
for (const play of plays) {
  const [name = "", count = "1", at = "route"] = play.split("/");
  const site = new sites.Site();
  await site.open();
  site.startDaemon();
  await site.served();
  const paths = { route: "/p/x", none: "/none/x", path: "/-/readyz", ready: "/-/readyz" };
  const door = {
    port: at === "ready" ? site.readyPort : site.port,
    path: paths[at as keyof typeof paths],
  };
  const client = site.play(name as kinds.KindName, door, Number(count), Number(seconds));
  const during = await site.callAll(client);
  const after = await site.callAll(timers.setTimeout(1000));
  const { peakMb, peakUnreadMb, ended } = site;
  const mb = `${Math.round(peakMb)} MB (${Math.round(peakUnreadMb)} unread)`;
  console.log(
    `${play}: ${ended ?? "lived"}, ${during.served} of ${during.sent}, p50 ${during.p50Ms}, max ${during.slowestMs}; ready ${during.ready}/${during.checks} max ${during.slowestCheckMs}; after ${after.served}/${after.sent}; ${mb}; ${JSON.stringify(during.failures)} ${JSON.stringify(await client)}`,
  );
  if (process.env.TRIAL_LOG) fs.writeFileSync(process.env.TRIAL_LOG, site.log);
  site.close();
}
