Feature: Each caller receives the whole answer to its own request

  Scenario: many callers at once
    Given a site with 3 engines
    When 30 callers ask captions@1 for 9 tokens each
    And 30 callers ask notes@2 for 3 tokens each
    Then every caller gets a whole answer of its own

  Scenario: an engine answers with another request's id
    Given a site with 1 engine
    When every engine answers the next request with another request's id
    And a caller asks captions@2 for 4 tokens
    Then the caller is told failed, with the code answer_mismatch

  Scenario: a stream breaks in the middle
    Given a site with 1 engine of 2 slots, and steps of 5 ms
    When every engine breaks its next answer off half-way
    And a caller asks captions@2 for 20 tokens as a stream
    Then the caller can tell that the answer is not whole

  Scenario: an answer that is no stream breaks in the middle
    Given a site with 2 engines of 2 slots, and steps of 5 ms
    When every engine breaks its next answer off half-way
    And a caller asks captions@2 for 20 tokens
    Then the caller is told unknown, with the code link_broken

  Scenario: one engine breaks an answer, and another gives it
    Given a site with 2 engines of 2 slots, and steps of 5 ms
    When a caller asks captions@2 for 40 tokens
    And the engines run 1 request
    And the engine that runs it restarts cold
    Then every caller gets a whole answer of its own

  Scenario: the endpoint daemon is killed in the middle of a stream
    Given a site with 1 engine of 2 slots, and steps of 10 ms
    When a caller asks captions@2 for 60 tokens as a stream
    And the engines run 1 request
    And 100 ms pass
    And the endpoint daemon that runs it is killed
    Then the caller can tell that the answer is not whole

  Scenario: the endpoint daemon is killed before the first byte
    Given a site with 2 engines of 2 slots, and steps of 10 ms
    When a caller asks captions@2 for 60 tokens
    And the engines run 1 request
    And the endpoint daemon that runs it is killed
    Then every caller gets a whole answer of its own

  Scenario: the store and the list of hosts are down
    Given a site with 2 engines
    When the store is down
    And the list of hosts is down
    And 20 callers ask notes@2 for 3 tokens each
    Then every caller gets a whole answer of its own
