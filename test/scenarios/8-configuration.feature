Feature: A change, once accepted, is in force everywhere within seconds and never reverts

  Scenario: a change
    Given a site with 3 engines
    When an operator makes 2 the current version of captions
    Then the operator is told that it is in force everywhere within 3000 ms
    When a caller asks captions for 4 tokens
    Then the answer is on captions@2

  Scenario: the store goes down right after a change
    Given a site with 3 engines
    When only endpoint daemon 2 hears of captions at version 2
    And the store is down
    Then captions is at version 2 at every daemon

  Scenario: the store loses the reply to the change
    Given a site with 2 engines
    When the store loses the reply to the next 1 write
    And an operator makes 2 the current version of captions
    Then the operator is told that it is in force everywhere

  Scenario: two operators change the same object at once
    Given a site with 2 engines
    When the store takes 50 ms for each call
    And two operators change captions at once
    Then one is in force, and the other is shown both versions

  Scenario: two operators change different objects at once
    Given a site with 2 engines
    When two operators declare different adapters at once
    Then both are in force

  Scenario: the store is restored from a backup
    Given a site with 2 engines
    When the store is backed up
    And an operator makes 2 the current version of captions
    And the revision in force is noted
    And the store is restored from the backup
    And 300 ms pass
    Then captions is at version 2 at every daemon
    And no daemon has gone back
    When an operator makes 1 the current version of notes
    Then the operator is told that the store is behind
    When the operator restores the store
    And an operator makes 2 the current version of notes
    Then the operator is told that it is in force everywhere
    And captions is at version 2 at every daemon
    And notes is at version 2 at every daemon

  Scenario: the list of hosts is down after the store was restored from a backup
    Given a site with 2 engines
    When the store is backed up
    And an operator makes 2 the current version of captions
    And the store is restored from the backup
    And the list of hosts is down
    Then no change can be applied, since the hosts cannot be listed

  Scenario: a daemon starts while the store is down
    Given a site with 2 engines
    When an operator makes 2 the current version of captions
    And the store is down
    And endpoint daemon 1 is killed
    And endpoint daemon 1 is started again
    Then captions is at version 2 at every daemon
    When a caller asks captions for 4 tokens
    Then the answer is on captions@2

  Scenario: a thousand adapters at once
    Given a site with 2 engines
    When an operator declares 1000 adapters at once
    Then the operator is told that it is in force everywhere within 3000 ms

  Scenario: a grant is revoked
    Given a site with 2 engines
    When an operator revokes the grant all
    Then the operator is told that it is in force everywhere
    When a caller asks captions@1 for 4 tokens
    Then the caller is told not_run, with the code not_found

  Scenario: the store is slow
    Given a site with 2 engines
    When the store takes 200 ms for each call
    And an operator makes 2 the current version of captions
    Then the operator is told that it is in force everywhere within 3000 ms

  Scenario: a change reaches peers at once
    Given a site with 3 engines that ask each other every 60 s
    When the store is down
    And only endpoint daemon 2 hears of captions at version 2
    Then captions is at version 2 at every daemon
