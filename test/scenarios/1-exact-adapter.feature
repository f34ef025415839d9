Feature: Every request runs on the adapter and version it named

  Scenario: an engine answers for another model
    Given a site with 2 engines
    When every engine answers the next request for another model
    And a caller asks captions@2 for 4 tokens
    Then the caller is told failed, with the code answer_mismatch

  Scenario: one engine answers for another model, and another gives the answer
    Given a site with 2 engines
    When engine 1 answers the next request for another model
    And 6 callers ask captions@1 for 4 tokens each
    And 6 callers ask notes@1 for 4 tokens each
    And 6 callers ask rulings@1 for 4 tokens each
    And 6 callers ask bulletins@1 for 4 tokens each
    Then every caller gets a whole answer of its own

  Scenario: an engine streams for another model
    Given a site with 1 engine
    When every engine answers the next request for another model
    And a caller asks captions@2 for 4 tokens as a stream
    Then the caller is told failed, with the code answer_mismatch

  Scenario: a version is replaced while requests run
    Given a site with 2 engines of 4 slots, and steps of 10 ms
    When a caller asks captions for 40 tokens as a stream
    And the engines run 1 request
    And an operator makes 2 the current version of captions
    And a caller asks captions for 4 tokens
    Then answer 1 is on captions@1
    And answer 2 is on captions@2

  Scenario: an engine comes back cold between requests
    Given a site with 1 engine
    When a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own
    When every engine restarts cold
    And a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own

  Scenario: an engine loses its adapters to a hand at the engine
    Given a site with 2 engines
    When a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own
    When engine 1 is unloaded by hand
    And engine 2 is unloaded by hand
    And a caller asks captions@1 for 4 tokens
    Then every caller gets a whole answer of its own

  Scenario: loads fail at one engine
    Given a site with 3 engines
    When engine 1 refuses loads
    And 12 callers ask captions@1 for 4 tokens each
    And 12 callers ask notes@2 for 4 tokens each
    And 12 callers ask summaries@2 for 4 tokens each
    Then every caller gets a whole answer of its own

  Scenario: the weight store refuses for a time
    Given a site with 1 engine
    When the weight store refuses loads
    And a caller asks captions@1 for 4 tokens
    Then the caller is told not_run, with the code load_failed
    And the caller is told when to come back
    When the weight store is back
    And 150 ms pass
    And a caller asks captions@1 for 4 tokens
    Then the answer is on captions@1
