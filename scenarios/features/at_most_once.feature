Feature: A booking runs at most once

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: A booking is sent again through another node while it runs
    When a shop books with one key through mtl-1 and, once it runs, through qc-1
    Then both shops' answers are the same and the later one is marked as replayed
    And the booking ran once

  Scenario: A booking is sent again after its answer
    When a shop books with one key through mtl-1 and, once it is answered, through mtl-2
    Then both shops' answers are the same and the later one is marked as replayed
    And the booking ran once

  Scenario: The same key with another body
    When a shop reuses its key for another booking
    Then the second booking is answered 422 not-run

  Scenario: What is called "not run" did not run
    Given upstreams of reserve with 1 slot and no queue
    When 60 shops book at once through all nodes
    Then no booking ran twice
    And no booking called not-run ran
    And every booking that was answered ran
