Feature: No adapter is evicted while a request is using it

  Scenario: another adapter is wanted by an engine of one slot
    Given a site with 1 engine of 1 slot, and steps of 10 ms
    When a caller asks captions@1 for 30 tokens
    And the engines run 1 request
    And a caller asks notes@1 for 4 tokens
    Then every caller gets a whole answer of its own
    And no adapter was evicted in use

  Scenario: the reply to a load is lost
    Given a site with 1 engine of 1 slot, and steps of 1 ms
    When every engine loses the reply to its next order
    And a caller asks captions@1 for 4 tokens
    Then the caller is told not_run, with the code load_failed
    When 400 ms pass
    And a caller asks captions@1 for 4 tokens
    Then the answer is on captions@1
    And no adapter was evicted in use

  Scenario: an unload takes effect late, after its reply was lost
    Given a site with 1 engine of 2 slots, and steps of 10 ms
    When a caller asks captions@1 for 1 tokens
    And a caller asks notes@1 for 1 tokens
    Then every caller gets a whole answer of its own
    When engine 1 loses the reply to its next order, which takes effect 300 ms late
    And a caller asks summaries@1 for 1 tokens
    And 700 ms pass
    And a caller asks captions@1 for 60 tokens
    And a caller asks notes@1 for 60 tokens
    And 900 ms pass
    Then no adapter was evicted in use

  Scenario: a caller goes away while the engine's counts lag
    Given a site with 1 engine of 1 slot, and steps of 20 ms
    When engine 1's counts lag by 50 ms
    And a caller asks captions@1 for 50 tokens and goes away
    And a caller asks notes@1 for 4 tokens
    Then the answer is on notes@1
    And no adapter was evicted in use

  Scenario: a second endpoint daemon is started on an engine that ignores fencing numbers
    Given a site with 1 engine of 2 slots that ignores fencing numbers, and steps of 10 ms
    When a caller asks captions@1 for 60 tokens
    And the engines run 1 request
    And a second endpoint daemon is started on engine 1 by mistake
    And it is asked for notes@1 and summaries@1
    Then it refuses both as not_run
    And every caller gets a whole answer of its own
    And no adapter was evicted in use

  Scenario: the holder pauses, and orders with its old number afterwards
    Given a site with 1 engine of 2 slots that honours fencing numbers, and steps of 1 ms
    When the holder of engine 1 pauses for longer than its lease
    And another holder takes the engine
    Then an order of the first holder is refused by the engine

  Scenario: a daemon is killed, and its successor finds its adapters
    Given a site with 1 engine of 2 slots that ignores fencing numbers, and steps of 10 ms
    When a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own
    When endpoint daemon 1 is killed
    And 1500 ms pass
    And endpoint daemon 1 is started again
    And a caller asks captions@1 for 4 tokens
    Then the answer is on captions@1
    And captions@1 was loaded 2 times

  Scenario: a daemon hands over, and its successor uses its adapters
    Given a site with 1 engine of 2 slots that ignores fencing numbers, and steps of 10 ms
    When a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own
    When endpoint daemon 1 is stopped gracefully
    And endpoint daemon 1 is started again
    And a caller asks captions@1 for 4 tokens
    Then the answer is on captions@1
    And captions@1 was loaded 1 times

  Scenario: the store is down
    Given a site with 1 engine of 1 slot, and steps of 10 ms
    When the store is down
    And a caller asks captions@1 for 30 tokens
    And the engines run 1 request
    And a caller asks notes@1 for 4 tokens
    Then every caller gets a whole answer of its own
    And no adapter was evicted in use

  Scenario: a caller goes away, and the engine goes on for a while
    Given a site with 1 engine of 1 slot, and steps of 10 ms
    When engine 1 goes on for 400 ms after a cancel
    And a caller asks captions@1 for 50 tokens and goes away
    And a caller asks notes@1 for 4 tokens
    Then the answer is on notes@1
    And no adapter was evicted in use

  Scenario: an engine restarts, and loads again before its daemon has looked
    Given a site with 1 engine of 1 slot that is looked at every 300 ms, and steps of 10 ms
    When a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own
    When every engine restarts cold
    And a caller asks captions@1 for 200 tokens
    And a caller asks notes@1 for 4 tokens
    Then every caller gets a whole answer of its own
    And no adapter was evicted in use

  Scenario: another request begins while a cancelled one still runs
    Given a site with 1 engine of 1 slot that is looked at every 50 ms, and steps of 10 ms
    When engine 1 goes on for 1500 ms after a cancel
    And a caller asks captions@1 for 300 tokens and goes away
    And 300 ms pass
    And engine 1's requests take 80 ms to arrive
    And 8 callers ask captions@1 for 4 tokens each
    And a caller asks notes@1 for 4 tokens
    Then every caller gets a whole answer of its own
    And no adapter was evicted in use
