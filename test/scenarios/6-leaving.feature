Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario: the daemon is told to stop
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When endpoint daemon 1 begins to stop
    Then endpoint daemon 1 gets no work from now on
    And it stops

  Scenario: the list of hosts says so
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When the list of hosts says that endpoint daemon 1 is leaving
    And 200 ms pass
    Then endpoint daemon 1 gets no work from now on

  Scenario: an operator drains it
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When an operator drains endpoint 1
    Then the operator is told that it is in force everywhere
    And endpoint daemon 1 gets no work from now on

  Scenario: the daemon is told to stop while the list of hosts lags
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When the list of hosts lags by 5000 ms
    And endpoint daemon 1 begins to stop
    Then endpoint daemon 1 gets no work from now on
    And it stops

  Scenario: the daemon is killed, and the list of hosts does not know
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When endpoint daemon 1 is killed
    Then endpoint daemon 1 gets no work from now on

  Scenario: an operator drains it while the store is about to fail
    Given a site with 3 engines
    And endpoint daemon 1 has had work
    When an operator drains endpoint 1
    And the store is down
    Then endpoint daemon 1 gets no work from now on
    And 12 callers ask captions@1 for 4 tokens each
    And every caller gets a whole answer of its own
