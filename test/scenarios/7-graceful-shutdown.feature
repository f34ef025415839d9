Feature: A graceful shutdown cuts off no request in progress

  Scenario: an endpoint daemon stops while it streams
    Given a site with 2 engines of 2 slots, and steps of 10 ms
    When a caller asks captions@1 for 60 tokens as a stream
    And the engines run 1 request
    And 100 ms pass
    And the endpoint daemon that runs it begins to stop
    Then every caller gets a whole answer of its own
    And it stops

  Scenario: an entry daemon stops while it streams
    Given a site with 2 engines of 2 slots, and steps of 10 ms
    When a caller asks captions@1 for 60 tokens as a stream
    And the engines run 1 request
    And entry host 1 begins to stop
    Then every caller gets a whole answer of its own
    And it stops

  Scenario: an endpoint daemon stops during an outage of the store
    Given a site with 2 engines of 2 slots, and steps of 10 ms
    When a caller asks captions@1 for 60 tokens as a stream
    And the engines run 1 request
    And 100 ms pass
    And the store is down
    And the endpoint daemon that runs it begins to stop
    Then every caller gets a whole answer of its own
    And it stops

  Scenario: an endpoint daemon stops with work in its queue
    Given a site with 2 engines and loads of 300 ms
    When 10 callers ask captions@1 for 4 tokens each
    And the endpoint daemon where they wait begins to stop
    Then every caller gets a whole answer of its own
    And it stops

  Scenario: an entry daemon stops with load, and one of its endpoints too
    Given a site with 2 entry hosts and 2 engines
    When 40 callers ask captions@1 for 40 tokens each
    And the engines run 1 request
    And entry host 1 begins to stop
    And endpoint daemon 1 begins to stop
    Then every caller gets a whole answer of its own
