import * as chai from "chai";
import * as site from "../bench/site.js";

const { expect } = chai;

describe("a request through the daemons", () => {
  let s: site.Site;
  before(async () => {
    s = await site.Site.start({ engines: 3, entries: 2, service: true });
  });
  after(() => s.stop());

  it("runs on the requested adapter and version", async () => {
    const a = await s.ask("captions@2", { prompt: "hello", tokens: 2 });
    expect(a.status).equal(200);
    expect(site.textOf(a)).equal("captions@2:hello:0 captions@2:hello:1 ");
    expect((JSON.parse(a.text) as { model: string }).model).equal("captions@2");
  });

  it("resolves a name without a version when the request is accepted", async () => {
    const a = await s.ask("captions", { prompt: "p", tokens: 1, at: 1 });
    expect(site.textOf(a)).equal("captions@1:p:0 ");
    expect(a.headers["sumacfield-model"]).equal("captions@1");
  });

  it("streams up to the [DONE] event", async () => {
    const a = await s.ask("notes", { prompt: "p", tokens: 3, stream: true });
    expect(a.headers["content-type"]).equal("text/event-stream");
    expect(a.broken).equal(false);
    expect(a.text.match(/"text":"notes@1:p:\d "/g)).length(3);
    expect(a.text.endsWith("data: [DONE]\n\n")).equal(true);
  });

  it("forwards a call to a plain service", async () => {
    const a = await s.call("POST", "/services/cutover/confirm?n=7", "number 7");
    expect(a.status).equal(200);
    expect(s.services?.service.executedCalls.at(-1)).eql({
      method: "POST",
      path: "/confirm?n=7",
      body: "number 7",
    });
  });

  it("refuses an unknown API key", async () => {
    const a = await s.ask("captions", { by: "stranger" });
    expect(a.status).equal(401);
    expect(site.errorOf(a)).include({ code: "unauthorized", outcome: "not_run" });
  });

  it("refuses an unknown version of a model", async () => {
    const a = await s.ask("captions@9");
    expect(a.status).equal(404);
    expect(site.errorOf(a)).include({ code: "not_found", outcome: "not_run" });
  });

  it("lists the models a caller may use", async () => {
    const a = await s.call("GET", "/v1/models", "");
    const { data } = JSON.parse(a.text) as { data: readonly { id: string }[] };
    expect(data.map((m) => m.id)).include.members(["captions", "captions@1", "captions@2"]);
  });
});

describe("an engine that does not report its start time", () => {
  let s: site.Site;
  before(async () => {
    s = await site.Site.start({ engines: 1, entries: 1 });
    for (const e of s.engines) e.engine.faults.omitStartTime = true;
  });
  after(() => s.stop());

  it("keeps adapters in use over many polls, and answers each request", async () => {
    const names = ["captions@1", "captions@2", "notes", "captions@1", "captions@2", "notes"];
    const answers = await Promise.all(
      names.map((name) => s.ask(name, { prompt: "p", tokens: 40, stream: true })),
    );
    expect(answers.map((a) => a.status)).deep.equal(names.map(() => 200));
    expect(answers.filter((a) => a.text.endsWith("data: [DONE]\n\n"))).length(names.length);
    expect(s.journal().filter((e) => e.kind === "evicted-in-use")).deep.equal([]);
  });

  it("is recognised as restarted by its list of adapters", async () => {
    for (const e of s.engines) e.engine.restart();
    const a = await s.ask("captions@2", { prompt: "p", tokens: 2 });
    expect(a.status).equal(200);
  });
});
