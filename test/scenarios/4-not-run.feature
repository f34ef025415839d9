Feature: When a caller is told its request was not run, it was not run

  Scenario: the deadline passes while the adapter is loaded
    Given a site with 1 engine and loads of 2500 ms
    When a caller asks captions@1 for 4 tokens within 1 s
    Then the caller is told not_run, with the code deadline
    And the caller is told when to come back
    When 2000 ms pass
    Then no engine ran anything for a caller told not_run

  Scenario: the endpoint daemon dies between acceptance and dispatch
    Given a site with 1 engine and loads of 500 ms
    When a caller asks captions@1 for 4 tokens, not to be repeated
    And it waits at an endpoint daemon
    And the endpoint daemon where it waits is killed
    Then the caller is told unknown

  Scenario: another endpoint takes over what died with the first
    Given a site with 2 engines and loads of 300 ms
    When a caller asks captions@1 for 4 tokens
    And the endpoint daemon where it waits is killed
    Then every caller gets a whole answer of its own

  Scenario: a request that is given up arrives late
    Given a site with 1 engine
    When an entry daemon gives up an attempt that arrives later
    Then the attempt is refused as not_run
    And the engines ran 0 requests in all

  Scenario: every engine is out
    Given a site with 2 engines
    When every engine is out
    And 20 callers ask captions@1 for 4 tokens each
    Then every caller is told not_run or unknown
    And no engine ran anything for a caller told not_run

  Scenario: more than the site can hold
    Given a site with 1 engine and a queue of 4
    When 40 callers ask captions@1 for 4 tokens each
    Then some callers are told not_run with when to come back
    And no engine ran anything for a caller told not_run
