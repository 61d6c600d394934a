Feature: Every caller gets the whole answer to its own request

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: Many callers at once, with answers that come late
    Given upstreams of suivi that take 1 to 40 ms
    When 30 callers send 6 requests each through all nodes
    Then each of the 180 answers is whole and belongs to its request

  Scenario: Answers that are cut short are fetched again
    Given upstream suivi-mtl-1 cuts its next answer after 40 bytes
    When 4 callers send 6 requests each through all nodes
    Then each of the 24 answers is whole and belongs to its request

  Scenario: A booking whose answer is cut short is not called complete
    Given each upstream of reserve cuts its next answer after 40 bytes
    When a shop books bench time through mtl-1
    Then the shop does not get a complete answer

  Scenario: Bytes that follow an answer reach nobody
    Given each upstream of suivi sends a stray answer after its next 3 answers
    When 6 callers send 5 requests each through all nodes
    Then each of the 30 answers is whole and belongs to its request

  Scenario: A photograph passes whole in both directions
    When a shop uploads 3000000 bytes and gets 2000000 bytes back
    Then each of the 1 answers is whole and belongs to its request
