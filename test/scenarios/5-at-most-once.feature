Feature: A request marked as not to be repeated runs at most once

  Scenario: the same key through two entry hosts at once
    Given a site with 2 entry hosts, 2 engines and a plain service
    When a caller confirms cutover "number 7" with the key "k7" through entry host 1
    And a caller confirms cutover "number 7" with the key "k7" through entry host 2
    Then exactly one caller gets an answer, and the others are told unknown
    And the service ran "number 7" 1 time

  Scenario: the same key for a model through two entry hosts at once
    Given a site with 2 entry hosts and 2 engines
    When a caller asks captions@1 for 4 tokens with the key "m1" through entry host 1
    And a caller asks captions@1 for 4 tokens with the key "m1" through entry host 2
    Then exactly one caller gets an answer, and the others are told unknown
    And the engines ran 1 request in all

  Scenario: the service's reply is lost
    Given a site with 2 entry hosts, 2 engines and a plain service
    When the service loses the reply to its next call
    And a caller confirms cutover "number 8"
    Then the caller is told unknown, with the code link_broken
    And the service ran "number 8" 1 time

  Scenario: the service's reply is lost, and the caller asks again
    Given a site with 2 entry hosts, 2 engines and a plain service
    When the service loses the reply to its next call
    And a caller confirms cutover "number 9" with the key "k9" through entry host 1
    Then the caller is told unknown, with the code link_broken
    When a caller confirms cutover "number 9" with the key "k9" through entry host 2
    Then the caller is told unknown, with the code duplicate
    And the service ran "number 9" 1 time

  Scenario: the store loses the reply to a claim
    Given a site with 2 entry hosts, 2 engines and a plain service
    When a caller confirms cutover "warm" with the key "w" through entry host 1
    Then the service ran "warm" 1 time after the answer
    When the store loses the reply to the next 1 write
    And a caller confirms cutover "number 10" with the key "k10" through entry host 1
    Then the last caller gets an answer
    And the service ran "number 10" 1 time

  Scenario: the store is down
    Given a site with 2 entry hosts, 2 engines and a plain service
    When the store is down
    And a caller confirms cutover "number 11" with the key "k11" through entry host 1
    Then the caller is told not_run, with the code claim_unproved
    And the caller is told when to come back
    And the service ran "number 11" 0 times
    When the store is back
    And 300 ms pass
    And a caller confirms cutover "number 11" with the key "k11" through entry host 2
    Then the last caller gets an answer
    And the service ran "number 11" 1 time

  Scenario: the entry host is killed, and the caller asks another
    Given a site with 2 entry hosts and 2 engines
    When a caller asks captions@1 for 400 tokens with the key "m2" through entry host 1
    And the engines run 1 request
    And entry host 1 is killed
    And a caller asks captions@1 for 4 tokens with the key "m2" through entry host 2
    Then the caller is told unknown, with the code duplicate
    And the engines ran 1 request in all

  Scenario: the endpoint daemon is killed in the middle
    Given a site with 2 engines of 2 slots, and steps of 10 ms
    When a caller asks captions@1 for 60 tokens, not to be repeated
    And the engines run 1 request
    And the endpoint daemon that runs it is killed
    Then the caller is told unknown
    And the engines ran 1 request in all

  Scenario: a request that did not run can be sent again with its key
    Given a site with 2 entry hosts and 2 engines
    When the weight store refuses loads
    And a caller asks captions@1 for 4 tokens with the key "m3" through entry host 1
    Then the caller is told not_run
    When the weight store is back
    And 400 ms pass
    And a caller asks captions@1 for 4 tokens with the key "m3" through entry host 2
    Then the answer is on captions@1
    And the engines ran 1 request in all
